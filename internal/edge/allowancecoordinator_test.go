package edge

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/account"
	"github.com/hickorystage/hickorystage/internal/allowance"
	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
)

// addPeer lets a gateway hear another one, which it has known for long.
func addPeer(e *Edge, id string, capacity int) {
	status := fleet.GatewayStatus{Gateway: fleet.Gateway{ID: id, Incarnation: "1", Region: "south", GrantAddress: id + ":7", MachineCapacity: capacity}, Ready: true}
	e.Gateways.ApplyStatus(status, time.Now().Add(-time.Minute))
	status.Seq = 1
	e.Gateways.ApplyStatus(status, time.Now())
}

// TestSmallMachinesDontCoordinate guards against a coordinator whose link the asks of a
// large fleet fill.
func TestSmallMachinesDontCoordinate(t *testing.T) {
	e := newCluster(t, "north").regions["north"].edge
	addPeer(e, "large", 200)
	addPeer(e, "half", 100)
	addPeer(e, "small", 99)
	view := e.allowances.currentView(time.Now())
	require.Equal(t, []string{"half", "large"}, view.candidates.ids, "nor this one, whose capacity is 0")
	require.Equal(t, 4, view.total)
}

// TestOtherGatewaysAreNamedAsCoordinator guards against an asker that goes on asking a
// gateway that isn't the coordinator, as long as its view of the fleet is older.
func TestOtherGatewaysAreNamedAsCoordinator(t *testing.T) {
	acc := limitedTestAccount("n1", "k1", account.Allowance{RatePerSecond: 100, Burst: 100})
	e := newCluster(t, "north").regions["north"].edge
	addPeer(e, "large", 200)
	got := e.AnswerCredit(grants.CreditAsk{Account: acc.Name, Gateway: "g2", AskedAt: 7, PerSecond: 100, Burst: 100, Need: 1, First: 1})
	require.Equal(t, grants.CreditGrant{Account: acc.Name, Gateway: "gw-north", AskedAt: 7, Gateways: 2, Coordinator: "large", Address: "large:7", Starting: true}, got)

	// The asking gateway follows, for a while.
	k := e.allowances
	k.accounts[acc.Name] = &limitedAccount{name: acc.Name, wallet: allowance.NewWallet(), coordinator: "large"}
	e.ReceiveCredit(grants.CreditGrant{Account: acc.Name, Gateway: "large", Coordinator: "other", Address: "other:7", Starting: true})
	now := k.now()
	require.Equal(t, gatewayAddress{"other", "other:7"}, k.target(k.accounts[acc.Name], now, time.Now()))
	require.Equal(t, gatewayAddress{"large", "large:7"}, k.target(k.accounts[acc.Name], now.Add(redirectTime), time.Now()))
}

// TestFrozenCoordinatorBeginsEmpty guards against a gateway that goes on with a full bucket
// after others have handed out the limit.
func TestFrozenCoordinatorBeginsEmpty(t *testing.T) {
	c, acc := newAccountCluster(t, "north"), limitedTestAccount("n1", "k1", account.Allowance{RatePerSecond: 100, Burst: 1000})
	c.regions["north"].setAccounts(c, 7, acc)
	k := c.regions["north"].edge.allowances
	clock := time.Now()
	k.now = func() time.Time { return clock }
	fillBucket(k.edge, acc)
	k.tick()
	ask := grants.CreditAsk{Account: acc.Name, Gateway: "g2", Version: 7, PerSecond: 100, Burst: 1000, Need: 10, First: 10}
	clock = clock.Add(900 * time.Millisecond)
	require.InDelta(t, 10.0, k.answer(ask, time.Now()).Credit, 0.1)
	clock = clock.Add(100 * time.Millisecond)
	require.True(t, k.answer(ask, time.Now()).Starting, "it stood still for 1 s")
	clock = clock.Add(takeOverTime)
	require.Zero(t, k.answer(ask, time.Now()).Credit)
}

// TestAccountsThatNobodyAsksForAreForgotten guards against state that grows with the names
// in other gateways' asks.
func TestAccountsThatNobodyAsksForAreForgotten(t *testing.T) {
	c := newAccountCluster(t, "north")
	k := c.regions["north"].edge.allowances
	clock := time.Now()
	k.now = func() time.Time { return clock }
	for i := range 100 {
		k.answer(grants.CreditAsk{Account: fmt.Sprint("n", i), Gateway: "g2", PerSecond: 1, Burst: 1}, time.Now())
	}
	require.Len(t, k.coordinated, 100)
	clock = clock.Add(forgetTime + time.Second)
	k.tick()
	require.Empty(t, k.coordinated)
}

// TestReplacementWaitsUntilTheOthersHaveNoticed guards against two groups of gateways that
// don't hear each other and both count a gateway that asked neither yet.
func TestReplacementWaitsUntilTheOthersHaveNoticed(t *testing.T) {
	e := newCluster(t, "north").regions["north"].edge
	var ids []string
	for i := range 20 {
		ids = append(ids, fmt.Sprint("peer-", i))
	}
	key := coordinatorKeyPrefix + accountKeyPrefix + "n1"
	self := rendezvous.Weight(key, "gw-north")
	higher := slices.IndexFunc(ids, func(id string) bool { return rendezvous.Weight(key, id) > self })
	lower := slices.IndexFunc(ids, func(id string) bool { return rendezvous.Weight(key, id) < self })
	heardAt := time.Now()
	later := heardAt.Add(2 * time.Second)
	addPeer(e, ids[lower], 0)
	require.Equal(t, takeOverTime, e.allowances.startDelay("n1", later), "it ranks below this gateway")
	e.allowances.view = nil
	addPeer(e, ids[higher], 0)
	require.Equal(t, takeOverTime, e.allowances.startDelay("n1", heardAt), "it is alive")
	e.allowances.view = nil
	delay := e.allowances.startDelay("n1", later)
	require.GreaterOrEqual(t, delay, allowance.DetectionTime-2*time.Second)
	require.Less(t, delay, allowance.DetectionTime-time.Second, "counted from when it was last heard")
	e.allowances.view = nil
	require.Equal(t, takeOverTime, e.allowances.startDelay("n1", heardAt.Add(4*time.Second)))
}

// TestNewcomerThatCoordinatesIsConfirmed guards against two coordinators until one of them
// has been known for long enough: gateways that were apart learn of each other late.
func TestNewcomerThatCoordinatesIsConfirmed(t *testing.T) {
	e, id := newCluster(t, "north").regions["north"].edge, ""
	key := coordinatorKeyPrefix + accountKeyPrefix + "n1"
	for i := 0; id == ""; i++ {
		if peer := fmt.Sprint("peer-", i); rendezvous.Weight(key, peer) > rendezvous.Weight(key, "gw-north") {
			id = peer
		}
	}
	require.True(t, e.Gateways.MayCoordinate(time.Now()))
	e.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: fleet.Gateway{ID: id, Incarnation: "1", Region: "south", GrantAddress: "a:7"}, Ready: true}, time.Now())
	k, acc := e.allowances, limitedTestAccount("n1", "k1", account.Allowance{RatePerSecond: 1, Burst: 1})
	require.Equal(t, "gw-north", k.currentView(time.Now()).coordinatorOf("n1"))
	asks := k.askSuccessor(acc, k.now(), time.Now())
	require.Len(t, asks, 1)
	require.Equal(t, gatewayAddress{id, "a:7"}, asks[0].to)
	require.True(t, asks[0].ask.Probe)
	e.ReceiveCredit(grants.CreditGrant{Account: "n1", Gateway: id, Probe: true, Starting: true})
	require.Equal(t, "gw-north", k.currentView(time.Now()).coordinatorOf("n1"), "it grants nothing yet")
	e.ReceiveCredit(grants.CreditGrant{Account: "n1", Gateway: id, Probe: true})
	require.Equal(t, id, k.currentView(time.Now()).coordinatorOf("n1"))
	require.Len(t, k.askSuccessor(acc, k.now(), time.Now()), 1, "it has to be confirmed again")
	clock := k.now().Add(confirmTime + time.Millisecond)
	k.now = func() time.Time { return clock }
	k.view = nil
	require.Equal(t, "gw-north", k.currentView(time.Now()).coordinatorOf("n1"))
}

// TestGroupTellsTheProperCoordinatorWhomItServes guards against a coordinator that hands
// out the parts of gateways which it hears and which don't hear it.
func TestGroupTellsTheProperCoordinatorWhomItServes(t *testing.T) {
	c := newCluster(t, "north")
	e, acc := c.regions["north"].edge, limitedTestAccount("n1", "k1", account.Allowance{RatePerSecond: 1, Burst: 1})
	k := e.allowances
	member, key := "", coordinatorKeyPrefix+accountKeyPrefix+"n1"
	for i := 0; member == ""; i++ {
		if peer := fmt.Sprint("peer-", i); rendezvous.Weight(key, peer) < rendezvous.Weight(key, "gw-north") {
			member = peer
		}
	}
	addPeer(e, member, 0)
	answer := k.answer(grants.CreditAsk{Account: "n1", Gateway: "other", PerSecond: 1, Probe: true, Gateways: 9, Claimed: []string{member}}, time.Now())
	require.True(t, answer.Starting)
	require.Equal(t, 9, k.total(k.now(), time.Now()), "it was told of nine gateways")
	require.InDelta(t, 1.0/9, k.share("n1", k.coordinated["n1"], k.now(), time.Now()), 1e-9, "the member is claimed")
	require.Empty(t, k.claim(acc, k.now(), time.Now()), "nobody ranks above this gateway")
}

// TestFewGatewaysAreToldWhomAGroupServes guards against a gateway that hears nobody and
// sends messages to half of a large fleet.
func TestFewGatewaysAreToldWhomAGroupServes(t *testing.T) {
	e, acc := newCluster(t, "north").regions["north"].edge, limitedTestAccount("n1", "k1", account.Allowance{RatePerSecond: 1, Burst: 1})
	require.True(t, e.Gateways.MayCoordinate(time.Now()))
	for i := range 60 {
		status := fleet.GatewayStatus{Gateway: fleet.Gateway{ID: fmt.Sprint("peer-", i), Incarnation: "1", Region: "south", GrantAddress: "a:7"}}
		e.Gateways.ApplyStatus(status, time.Now().Add(-10*time.Second))
	}
	k := e.allowances
	k.coordinate("n1", k.now(), time.Now())
	claims := k.claim(acc, k.now(), time.Now())
	require.NotEmpty(t, claims)
	require.LessOrEqual(t, len(claims), maxClaims)
	for _, c := range claims {
		require.Equal(t, []string{"gw-north"}, c.ask.Claimed)
		require.Equal(t, 61, c.ask.Gateways)
	}
}

// TestClaimsOfManyGatewaysFitDatagrams guards against claims that are cut off, so that the
// proper coordinator hands out the parts of gateways that another one serves.
func TestClaimsOfManyGatewaysFitDatagrams(t *testing.T) {
	e, acc := newCluster(t, "north").regions["north"].edge, limitedTestAccount("n1", "k1", account.Allowance{RatePerSecond: 1, Burst: 1})
	key := coordinatorKeyPrefix + accountKeyPrefix + "n1"
	self, want := rendezvous.Weight(key, "gw-north"), []string{"gw-north"}
	silent := false
	for i := 0; len(want) < 250 || !silent; i++ {
		id := fmt.Sprintf("gateway-with-a-long-name-in-a-data-centre-%d", i)
		switch {
		case rendezvous.Weight(key, id) < self:
			addPeer(e, id, 0)
			want = append(want, id)
		case !silent:
			silent = true
			e.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: fleet.Gateway{ID: id, Incarnation: "1", Region: "south", GrantAddress: "a:7"}}, time.Now().Add(-10*time.Second))
		}
	}
	k := e.allowances
	k.coordinate("n1", k.now(), time.Now())
	var got []string
	for _, claim := range k.claim(acc, k.now(), time.Now()) {
		body, err := json.Marshal(claim.ask)
		require.NoError(t, err)
		require.Less(t, len(body), 8<<10)
		got = append(got, claim.ask.Claimed...)
	}
	require.ElementsMatch(t, want, got)
}

// TestConfirmationsAreForgotten guards against state that grows with each gateway that starts
// under a new id.
func TestConfirmationsAreForgotten(t *testing.T) {
	c := newAccountCluster(t, "north")
	r := c.regions["north"]
	r.setAccounts(c, 7, limitedTestAccount("n1", "k1", account.Allowance{RatePerSecond: 1, Burst: 1}))
	k := r.edge.allowances
	clock := time.Now()
	k.now = func() time.Time { return clock }
	r.edge.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: fleet.Gateway{ID: "newcomer", Incarnation: "1", Region: "south", GrantAddress: "a:7"}, Ready: true}, time.Now())
	r.edge.ReceiveCredit(grants.CreditGrant{Account: "n1", Gateway: "newcomer", Probe: true})
	k.tick()
	require.Len(t, k.confirmed, 1)
	clock = clock.Add(confirmTime + idleTick)
	k.tick()
	require.Empty(t, k.confirmed)
}

// TestFewNewcomersAreAsked guards against a gateway whose machine is busy with asking all
// others, for each account, after they have started again.
func TestFewNewcomersAreAsked(t *testing.T) {
	e, acc := newCluster(t, "north").regions["north"].edge, limitedTestAccount("n1", "k1", account.Allowance{RatePerSecond: 1, Burst: 1})
	require.True(t, e.Gateways.MayCoordinate(time.Now()))
	key := coordinatorKeyPrefix + accountKeyPrefix + "n1"
	self := rendezvous.Weight(key, "gw-north")
	var above []string
	for i := 0; len(above) < 85; i++ {
		id := fmt.Sprint("peer-", i)
		e.Gateways.ApplyStatus(fleet.GatewayStatus{Gateway: fleet.Gateway{ID: id, Incarnation: "1", Region: "south", GrantAddress: "a:7"}, Ready: true}, time.Now())
		if rendezvous.Weight(key, id) > self {
			above = append(above, id)
		}
	}
	var asked []string
	for _, a := range e.allowances.askSuccessor(acc, e.allowances.now(), time.Now()) {
		asked = append(asked, a.to.id)
	}
	require.ElementsMatch(t, rendezvous.Top(key, above, maxSuccessors), asked, "those of the highest rank")
}
