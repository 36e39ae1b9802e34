package edge

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/account"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/transport"
)

const (
	// allowanceGateways is the number of gateways of these tests, in three regions.
	allowanceGateways = 18
	// allowanceCost is the cost of each request.
	allowanceCost = 12000
	farTransit    = 55 * time.Millisecond
	nearTransit   = time.Millisecond
	// allowanceTick is the step of the tests.
	allowanceTick = 10 * time.Millisecond
)

var (
	allowanceRegions = []string{"north", "south", "west"}
	allowanceSite    = &settings.PlatformSettings{
		HeartbeatInterval: simulatedHeartbeat,
		Regions:           map[string]string{"north-a": "north", "south-a": "south", "west-a": "west"},
	}
)

// allowanceFleet simulates the gateways of three regions that serve one account.
type allowanceFleet struct {
	t        *testing.T
	random   *rand.Rand
	account  *account.Account
	table    *route.Table
	gateways []*allowanceGateway
	byID     map[string]*allowanceGateway
	// hears reports whether a datagram from one gateway reaches another one now.
	hears func(from, to *allowanceGateway) bool
	// later are the actions of a fault that come some steps after its beginning.
	later map[int]func()

	// mu guards what follows, and the state of the gateways.
	mu              sync.Mutex
	ran             []time.Time
	served, refused int
}

// allowanceGateway is one gateway, which has been started so many times.
type allowanceGateway struct {
	fleet         *allowanceFleet
	index, starts int
	edge          *Edge
	tomb          *tomb.Tomb
	seq           uint64
	// isDown is set while the process doesn't run.
	isDown bool
}

func newAllowanceFleet(t *testing.T) *allowanceFleet {
	f := &allowanceFleet{t: t, random: rand.New(rand.NewPCG(1, 2)), byID: make(map[string]*allowanceGateway), hears: func(_, _ *allowanceGateway) bool { return true }}
	f.account = limitedTestAccount("n1", "k1", account.Allowance{Unit: account.Tokens, RatePerSecond: 1.2e6, Burst: 1.2e6})
	index, err := account.NewIndex([]*account.Account{f.account})
	require.NoError(t, err)
	f.table = route.NewTable(1, nil, nil, route.Limits{})
	f.table.Accounts = index
	for i := range allowanceGateways {
		g := &allowanceGateway{fleet: f, index: i}
		f.gateways = append(f.gateways, g)
		f.byID[fmt.Sprint("gw-", i)] = g
	}
	for _, g := range f.gateways {
		g.start()
	}
	return f
}

func (g *allowanceGateway) region() string { return allowanceRegions[g.index%len(allowanceRegions)] }

// start starts the gateway, again under its id.
func (g *allowanceGateway) start() {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	id := fmt.Sprint("gw-", g.index)
	g.starts++
	g.seq, g.isDown = 0, false
	board := blackboard.NewEdge(allowanceSite)
	board.Routes.Set(g.fleet.table)
	g.edge = New(Config{
		Board:            board,
		Gateways:         fleet.NewGateways(fleet.Gateway{ID: id, Incarnation: fmt.Sprint(g.starts), Region: g.region(), DataCentre: g.region() + "-a", GrantAddress: id}, time.Now()),
		GatewayTransport: transport.New(nil, time.Second),
		Credit:           g,
		Logger:           log.New(io.Discard),
	})
	g.edge.allowances.now = time.Now
	g.tomb = new(tomb.Tomb)
	g.tomb.Go(func() error { return Allowances{Edge: g.edge}.Run(g.tomb) })
}

// stop ends the process.
func (g *allowanceGateway) stop() {
	g.fleet.mu.Lock()
	g.isDown = true
	g.fleet.mu.Unlock()
	g.tomb.Kill(nil)
	require.NoError(g.fleet.t, g.tomb.Wait())
}

// running returns the edge of the gateway, nil while the process doesn't run.
func (g *allowanceGateway) running() *Edge {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	if g.isDown {
		return nil
	}
	return g.edge
}

// SendCreditAsk delivers an ask and brings back the response.
func (g *allowanceGateway) SendCreditAsk(address string, ask grants.CreditAsk) error {
	to, asker := g.fleet.byID[address], g.running()
	g.deliver(to, func(e *Edge) {
		response := e.AnswerCredit(ask)
		to.deliver(g, func(e *Edge) {
			if e == asker {
				e.ReceiveCredit(response)
			}
		})
	})
	return nil
}

func (g *allowanceGateway) deliver(to *allowanceGateway, f func(*Edge)) {
	if !g.fleet.isHeard(g, to) {
		return
	}
	transit := farTransit
	if g.region() == to.region() {
		transit = nearTransit
	}
	time.AfterFunc(transit, func() {
		if e := to.running(); e != nil {
			f(e)
		}
	})
}

// sendHeartbeats sends the gateway's status to all that hear it.
func (g *allowanceGateway) sendHeartbeats() {
	g.seq++
	status := fleet.GatewayStatus{Gateway: g.edge.Gateways.Self(), Seq: g.seq, Ready: true, Leaving: g.edge.Gateways.IsLeaving()}
	for _, to := range g.fleet.gateways {
		if to != g && !to.isDown && g.fleet.isHeard(g, to) {
			to.edge.Gateways.ApplyStatus(status, time.Now())
		}
	}
}

// request sends a request through the gateway.
func (g *allowanceGateway) request() {
	f, e := g.fleet, g.edge
	waiter, granted := e.allowances.take(f.account, f.table.Version, allowanceCost)
	if granted {
		f.record()
		return
	}
	go func() {
		timer := time.NewTimer(maxAllowanceWait)
		defer timer.Stop()
		select {
		case verdict := <-waiter.Done():
			if verdict.Granted {
				f.record()
				return
			}
		case <-timer.C:
			e.allowances.cancel(f.account.Name, waiter)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.refused++
	}()
}

func (f *allowanceFleet) record() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.served++
	f.ran = append(f.ran, time.Now())
}

// run lets requests arrive that cost demand per second.
func (f *allowanceFleet) run(d time.Duration, demand float64) {
	perStep := demand / allowanceCost * allowanceTick.Seconds()
	for step := range int(d / allowanceTick) {
		if action := f.later[step]; action != nil {
			action()
		}
		for i, g := range f.gateways {
			if (step+i)%int(simulatedHeartbeat/allowanceTick) == 0 && !g.isDown {
				g.sendHeartbeats()
			}
		}
		for n := perStep; n > 0 && f.random.Float64() < n; n-- {
			if g := f.gateways[f.random.IntN(len(f.gateways))]; !g.isDown && !g.edge.Gateways.IsLeaving() {
				g.request()
			}
		}
		synctest.Wait()
		time.Sleep(allowanceTick)
	}
}

// coordinator returns the gateway that coordinates the account in its own view.
func (f *allowanceFleet) coordinator() *allowanceGateway {
	g := f.findCoordinator()
	require.NotNil(f.t, g)
	return g
}

// findCoordinator is coordinator that returns nil if there is none.
func (f *allowanceFleet) findCoordinator() *allowanceGateway {
	for _, g := range f.gateways {
		k := g.edge.allowances
		k.mu.Lock()
		id := k.currentView(time.Now()).coordinatorOf(f.account.Name)
		k.mu.Unlock()
		if id == g.edge.Gateways.Self().ID && !g.isDown {
			return g
		}
	}
	return nil
}

// isHeard reports whether a datagram sent now arrives.
func (f *allowanceFleet) isHeard(from, to *allowanceGateway) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hears(from, to)
}

func (f *allowanceFleet) setHears(hears func(from, to *allowanceGateway) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hears = hears
}

// takeCounts returns the numbers of requests served and refused since the last call.
func (f *allowanceFleet) takeCounts() (served, refused float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	served, refused = float64(f.served), float64(f.refused)
	f.served, f.refused = 0, 0
	return served, refused
}

// worst returns the cost of what ran in the worst window as a part of the bound.
func (f *allowanceFleet) worst() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	most, first := 0, 0
	for i, at := range f.ran {
		for at.Sub(f.ran[first]) > defaultQuotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	a := f.account.Allowance
	return float64(most*allowanceCost) / ((a.RatePerSecond*defaultQuotaWindow.Seconds()+a.Burst)*(1+defaultQuotaOverage) + defaultQuotaSlack)
}
