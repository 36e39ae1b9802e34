package action_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/failure"
)

// faultKind is what goes wrong at a step.
type faultKind string

const (
	requestLost faultKind = "request lost"
	answerLost  faultKind = "answer lost after the effect"
	late        faultKind = "late"
	twice       faultKind = "twice"
	silent      faultKind = "silent"
	killBefore  faultKind = "killed before"
	killAfter   faultKind = "killed after"
	pauseBefore faultKind = "paused before"
	pauseAfter  faultKind = "paused after"
	cutOff      faultKind = "cut off"
	storeAway   faultKind = "store away"
	refused     faultKind = "refused"
)

var (
	remoteFaults = []faultKind{requestLost, answerLost, late, twice, silent, killBefore, killAfter, pauseBefore, pauseAfter, cutOff, storeAway}
	localFaults  = []faultKind{killBefore, pauseBefore, cutOff, storeAway}
)

// faultsAt are the faults that can strike at a step.
func faultsAt(info action.StepInfo) []faultKind {
	switch {
	case info.Remote:
		return remoteFaults
	case info.Step == action.StepAdmit:
		return append([]faultKind{refused}, localFaults...)
	default:
		return localFaults
	}
}

// injection is a fault at the nth time that a node takes a step.
type injection struct {
	node int
	step action.Step
	nth  int
	kind faultKind
	// lasts is the length of a pause, a cut, an outage or a delay.
	lasts time.Duration
}

const (
	hop     = 2 * time.Millisecond
	giveUp  = 300 * time.Millisecond
	maxHeld = 2
)

// world holds the gateways, the store and the service of one history.
type world struct {
	mu       sync.Mutex
	nodes    []*node
	plan     []injection
	taken    map[string]int
	fired    int
	executed map[string]int
	fenced   map[string]bool
	// checksFencing makes the service refuse an action's second delivery.
	checksFencing bool
	store         *countedStore
	storeAwayTill time.Time
	over          chan struct{}
	limits        action.Limits
	running       sync.WaitGroup
}

// node is one gateway incarnation.
type node struct {
	w           *world
	index       int
	incarnation string
	m           *action.Manager
	dead        bool
	refuses     bool
	pausedUntil time.Time
	cutUntil    time.Time
}

// lostError is an answer that didn't come.
type lostError struct{ sent bool }

func (e *lostError) Error() string { return fmt.Sprintf("lost (sent: %t)", e.sent) }

func newWorld(nodes int, plan []injection) *world {
	w := &world{
		plan:     plan,
		taken:    map[string]int{},
		executed: map[string]int{},
		fenced:   map[string]bool{},
		over:     make(chan struct{}),
		store:    newCountedStore(),
		limits: action.Limits{
			TicketValidity: 30 * time.Second, Retention: 90 * time.Second, ClaimRetention: 5 * time.Second,
			ClaimTimeout: 2 * time.Second, StoreTimeout: giveUp, DefaultTimeout: time.Second, MaxRecords: 64, MaxVoids: 64,
		},
	}
	for range nodes {
		w.start()
	}
	return w
}

// start adds a fresh gateway.
func (w *world) start() *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := &node{w: w, index: len(w.nodes), incarnation: fmt.Sprintf("inc%d", len(w.nodes))}
	n.m = action.New(action.Config{
		Incarnation: n.incarnation,
		Limits:      w.limits,
		Dispatcher:  serviceOf{n},
		Store:       storeOf{w.store, n},
		Forwarder:   peersOf{n},
		SealSender:  peersOf{n},
		Admitter:    admissionOf{n},
		OnStep:      n.observe,
	})
	w.nodes = append(w.nodes, n)
	return n
}

// gateways returns every gateway so far.
func (w *world) gateways() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.nodes)
}

// end lets everything that is blocked go on, without effects, and waits.
func (w *world) end() {
	w.mu.Lock()
	for _, n := range w.nodes {
		n.dead = true
	}
	w.mu.Unlock()
	close(w.over)
	w.running.Wait()
	for _, n := range w.gateways() {
		_ = n.m.Stop()
	}
}

// take returns the fault for this time that the node takes the step.
func (w *world) take(n *node, s action.Step) (injection, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := strconv.Itoa(n.index) + string(s)
	w.taken[id]++
	for _, in := range w.plan {
		if in.node == n.index && in.step == s && in.nth == w.taken[id] {
			w.fired++
			return in, true
		}
	}
	return injection{}, false
}

// gate holds a paused or dead process; false means that it is dead.
func (n *node) gate() bool {
	for {
		n.w.mu.Lock()
		dead, wait := n.dead, time.Until(n.pausedUntil)
		n.w.mu.Unlock()
		if dead {
			<-n.w.over
			return false
		}
		if wait <= 0 {
			return true
		}
		select {
		case <-time.After(wait):
		case <-n.w.over:
			return false
		}
	}
}

func (n *node) kill()                 { n.set(func() { n.dead = true }) }
func (n *node) pause(d time.Duration) { n.set(func() { n.pausedUntil = time.Now().Add(d) }) }
func (n *node) cut(d time.Duration)   { n.set(func() { n.cutUntil = time.Now().Add(d) }) }

func (n *node) set(fn func()) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	fn()
}

// takeStoreAway makes the store refuse every call for d.
func (w *world) takeStoreAway(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeAwayTill = time.Now().Add(d)
}

func (w *world) storeIsAway() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.storeAwayTill)
}

// alone reports whether the node is cut off or dead.
func (n *node) alone() bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.dead || time.Now().Before(n.cutUntil)
}

// observe is a local step.
func (n *node) observe(s action.Step) {
	if in, ok := n.w.take(n, s); ok {
		n.strike(in)
	}
	n.gate()
}

// admissionOf is a node's admission; it refuses when a fault says so.
type admissionOf struct{ n *node }

func (a admissionOf) AdmitAction(context.Context, action.Call) (func(), error) {
	a.n.w.mu.Lock()
	defer a.n.w.mu.Unlock()
	if a.n.refuses {
		a.n.refuses = false
		return nil, failure.Refuse(failure.CodeLimitExceeded, "over the limit")
	}
	return func() {}, nil
}

// strike makes a fault of the process or its surroundings happen.
func (n *node) strike(in injection) {
	switch in.kind {
	case killBefore, killAfter:
		n.kill()
	case pauseBefore, pauseAfter:
		n.pause(in.lasts)
	case refused:
		n.set(func() { n.refuses = true })
	case cutOff:
		n.cut(in.lasts)
	case storeAway:
		n.w.takeStoreAway(in.lasts)
	}
}

// remote runs the effect of a remote step with the fault planned for it.
func (n *node) remote(ctx context.Context, s action.Step, effect func() error) error {
	if !n.gate() {
		return &lostError{}
	}
	in, faulty := n.w.take(n, s)
	if faulty && in.kind != killAfter && in.kind != pauseAfter {
		n.strike(in)
		if !n.gate() {
			return &lostError{}
		}
	}
	if !sleep(ctx, hop) {
		return &lostError{sent: true}
	}
	err := n.perform(ctx, in, effect)
	if faulty && (in.kind == killAfter || in.kind == pauseAfter) {
		n.strike(in)
	}
	if !n.gate() {
		return &lostError{sent: true}
	}
	return err
}

func (n *node) perform(ctx context.Context, in injection, effect func() error) error {
	switch in.kind {
	case requestLost:
		sleep(ctx, giveUp)
		return &lostError{sent: true}
	case answerLost:
		_ = effect()
		sleep(ctx, giveUp)
		return &lostError{sent: true}
	case late:
		n.w.later(in.lasts, effect)
		sleep(ctx, giveUp)
		return &lostError{sent: true}
	case twice:
		n.w.later(in.lasts, effect)
		return effect()
	case silent:
		<-ctx.Done()
		return &lostError{sent: true}
	}
	return effect()
}

// later runs an effect that the network has held back.
func (w *world) later(d time.Duration, effect func() error) {
	w.running.Go(func() {
		select {
		case <-time.After(d):
			_ = effect()
		case <-w.over:
		}
	})
}

// sleep waits and reports whether ctx is alive.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// told is what a caller was told of an action.
type told struct {
	outcome failure.Outcome
	code    failure.Code
	way     action.OutcomeSource
}

// ask has a caller send a call to a gateway, and returns what it is told; ok
// is false when the gateway gave no answer.
func (w *world) ask(n *node, timeout time.Duration, fn func(context.Context, *action.Manager) told) (told, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	out := make(chan told, 1)
	w.running.Go(func() {
		defer cancel()
		if n.gate() && sleep(ctx, hop) {
			out <- fn(ctx, n.m)
		}
	})
	select {
	case t := <-out:
		return t, !n.isDead()
	case <-time.After(timeout + time.Second):
		return told{}, false
	}
}

func (n *node) isDead() bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.dead
}

// do sends a call.
func do(c action.Call) func(context.Context, *action.Manager) told {
	return func(ctx context.Context, m *action.Manager) told {
		a, err := m.Do(ctx, c)
		if err != nil {
			r := failure.AsRefusal(err)
			return told{outcome: r.Outcome, code: r.Code}
		}
		return told{outcome: a.Outcome, way: a.Source}
	}
}

// outcome asks for the outcome of a key.
func outcome(q action.Query) func(context.Context, *action.Manager) told {
	return func(ctx context.Context, m *action.Manager) told {
		r, err := m.Outcome(ctx, q)
		if err != nil {
			f := failure.AsRefusal(err)
			return told{outcome: f.Outcome, code: f.Code}
		}
		return told{outcome: r.Outcome, code: r.Reason, way: r.Source}
	}
}

// asking is a request to a gateway.
type asking func(context.Context, *action.Manager) told

// runs returns how often an action was executed.
func (w *world) runs(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.executed[key]
}
