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
	"github.com/hickorystage/hickorystage/internal/platform"
)

// faultKind is a kind of fault at a step.
type faultKind string

const (
	requestLost      faultKind = "request lost"
	responseLost     faultKind = "response lost after the effect"
	delayed          faultKind = "delayed"
	duplicated       faultKind = "duplicated"
	unresponsive     faultKind = "unresponsive"
	killBefore       faultKind = "killed before"
	killAfter        faultKind = "killed after"
	pauseBefore      faultKind = "paused before"
	pauseAfter       faultKind = "paused after"
	isolated         faultKind = "isolated"
	storeUnavailable faultKind = "store unavailable"
	refused          faultKind = "refused"
)

var (
	remoteFaults = []faultKind{requestLost, responseLost, delayed, duplicated, unresponsive, killBefore, killAfter, pauseBefore, pauseAfter, isolated, storeUnavailable}
	localFaults  = []faultKind{killBefore, pauseBefore, isolated, storeUnavailable}
)

// faultsAt returns the kinds of faults that can be injected at a step.
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

// injection is a fault that is injected the nth time a node performs a step.
type injection struct {
	node int
	step action.Step
	nth  int
	kind faultKind
	// duration is the length of a pause, an isolation, a store outage or a
	// delay.
	duration time.Duration
}

const (
	// networkDelay is the time that one message takes.
	networkDelay = 2 * time.Millisecond
	// lossTimeout is the time after which a lost message is noticed.
	lossTimeout = 300 * time.Millisecond
	// sealCopies is the number of peers that a seal is sent to.
	sealCopies = 2
)

// cluster is the simulated gateways, store and service of one history.
type cluster struct {
	mu     sync.Mutex
	nodes  []*node
	faults []injection
	// stepCounts counts steps by node and step, and injected the faults so far.
	stepCounts map[string]int
	injected   int
	// executed counts the executions by request id.
	executed      map[string]int
	fencedActions map[string]bool
	// checksFencing makes the service refuse an action's second delivery.
	checksFencing  bool
	store          *countingStore
	storeDownUntil time.Time
	// storeCopy is what a restore of the store brings back.
	storeCopy []platform.Entry
	// ended is closed at the end of the history.
	ended      chan struct{}
	limits     action.Limits
	goroutines sync.WaitGroup
}

// node is one gateway incarnation.
type node struct {
	cluster       *cluster
	index         int
	incarnation   string
	m             *action.Manager
	dead          bool
	refusesNext   bool
	pausedUntil   time.Time
	isolatedUntil time.Time
	// era is the era of the store that the node knows.
	era platform.Era
}

// lostError reports a lost request or response. sent reports whether the
// request may have been sent.
type lostError struct{ sent bool }

func (e *lostError) Error() string { return fmt.Sprintf("lost (sent: %t)", e.sent) }

func newCluster(nodes int, faults []injection) *cluster {
	c := &cluster{
		faults:        faults,
		stepCounts:    map[string]int{},
		executed:      map[string]int{},
		fencedActions: map[string]bool{},
		ended:         make(chan struct{}),
		store:         newCountingStore(),
		limits: action.Limits{
			TicketValidity: 30 * time.Second, TicketRecordRetention: 90 * time.Second, ClaimRecordRetention: 5 * time.Second,
			ClaimTimeout: 2 * time.Second, StoreTimeout: lossTimeout, DefaultTimeout: time.Second, MaxRecords: 64, MaxVoidRecords: 64,
		},
	}
	for range nodes {
		c.start()
	}
	return c
}

// start adds a new gateway.
func (c *cluster) start() *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := &node{cluster: c, index: len(c.nodes), incarnation: fmt.Sprintf("inc%d", len(c.nodes))}
	n.m = action.New(action.Config{
		Incarnation: n.incarnation,
		Limits:      c.limits,
		Dispatcher:  nodeDispatcher{n},
		Store:       nodeStore{c.store, n},
		Forwarder:   nodePeers{n},
		SealSender:  nodePeers{n},
		Admitter:    nodeAdmitter{n},
		OnStep:      n.observe,
	})
	c.nodes = append(c.nodes, n)
	return n
}

// gateways returns all gateways started so far, including dead ones.
func (c *cluster) gateways() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.nodes)
}

// end releases everything that is blocked, without further effects, and waits
// for the goroutines.
func (c *cluster) end() {
	c.mu.Lock()
	for _, n := range c.nodes {
		n.dead = true
	}
	c.mu.Unlock()
	close(c.ended)
	c.goroutines.Wait()
	for _, n := range c.gateways() {
		_ = n.m.Stop()
	}
}

// nextFault counts the step and returns the fault to inject at it, if any.
func (c *cluster) nextFault(n *node, s action.Step) (injection, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := strconv.Itoa(n.index) + string(s)
	c.stepCounts[id]++
	for _, in := range c.faults {
		if in.node == n.index && in.step == s && in.nth == c.stepCounts[id] {
			c.injected++
			return in, true
		}
	}
	return injection{}, false
}

// waitWhilePaused blocks while the node is paused. It returns false at the end
// of the history if the node is dead or still paused.
func (n *node) waitWhilePaused() bool {
	for {
		n.cluster.mu.Lock()
		dead, wait := n.dead, time.Until(n.pausedUntil)
		n.cluster.mu.Unlock()
		if dead {
			<-n.cluster.ended
			return false
		}
		if wait <= 0 {
			return true
		}
		select {
		case <-time.After(wait):
		case <-n.cluster.ended:
			return false
		}
	}
}

func (n *node) kill()                   { n.withLock(func() { n.dead = true }) }
func (n *node) pause(d time.Duration)   { n.withLock(func() { n.pausedUntil = time.Now().Add(d) }) }
func (n *node) isolate(d time.Duration) { n.withLock(func() { n.isolatedUntil = time.Now().Add(d) }) }

func (n *node) withLock(fn func()) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	fn()
}

// failStore makes the store unavailable for d.
func (c *cluster) failStore(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeDownUntil = time.Now().Add(d)
}

// copyStore makes the copy of the store for later restores.
func (c *cluster) copyStore() {
	entries := c.store.kv.Dump()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeCopy = entries
}

// restoreStore replaces the content of the store by the last copy, or by none.
func (c *cluster) restoreStore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.kv.Restore(c.storeCopy)
}

func (c *cluster) isStoreDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.storeDownUntil)
}

// isUnreachable reports whether the node is isolated or dead.
func (n *node) isUnreachable() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.dead || time.Now().Before(n.isolatedUntil)
}

// observe injects the fault of a local step, if any.
func (n *node) observe(s action.Step) {
	if in, ok := n.cluster.nextFault(n, s); ok {
		n.inject(in)
	}
	n.waitWhilePaused()
}

// nodeAdmitter admits every call but the next one after a fault of kind
// refused.
type nodeAdmitter struct{ n *node }

func (a nodeAdmitter) AdmitAction(context.Context, action.Call) (func(), error) {
	a.n.cluster.mu.Lock()
	defer a.n.cluster.mu.Unlock()
	if a.n.refusesNext {
		a.n.refusesNext = false
		return nil, failure.Refuse(failure.CodeLimitExceeded, "over the limit")
	}
	return func() {}, nil
}

// inject injects a fault of the process or its environment. It ignores network
// faults.
func (n *node) inject(in injection) {
	switch in.kind {
	case killBefore, killAfter:
		n.kill()
	case pauseBefore, pauseAfter:
		n.pause(in.duration)
	case refused:
		n.withLock(func() { n.refusesNext = true })
	case isolated:
		n.isolate(in.duration)
	case storeUnavailable:
		n.cluster.failStore(in.duration)
	}
}

// callRemote runs the effect of a remote step and injects the step's fault, if
// any.
func (n *node) callRemote(ctx context.Context, s action.Step, effect func() error) error {
	if !n.waitWhilePaused() {
		return &lostError{}
	}
	in, faulty := n.cluster.nextFault(n, s)
	if faulty && in.kind != killAfter && in.kind != pauseAfter {
		n.inject(in)
		if !n.waitWhilePaused() {
			return &lostError{}
		}
	}
	if !sleep(ctx, networkDelay) {
		return &lostError{sent: true}
	}
	err := n.applyNetworkFault(ctx, in, effect)
	if faulty && (in.kind == killAfter || in.kind == pauseAfter) {
		n.inject(in)
	}
	if !n.waitWhilePaused() {
		return &lostError{sent: true}
	}
	return err
}

// applyNetworkFault runs the effect of a remote step under in, if in is a
// network fault.
func (n *node) applyNetworkFault(ctx context.Context, in injection, effect func() error) error {
	switch in.kind {
	case requestLost:
		sleep(ctx, lossTimeout)
		return &lostError{sent: true}
	case responseLost:
		_ = effect()
		sleep(ctx, lossTimeout)
		return &lostError{sent: true}
	case delayed:
		n.cluster.afterDelay(in.duration, effect)
		sleep(ctx, lossTimeout)
		return &lostError{sent: true}
	case duplicated:
		n.cluster.afterDelay(in.duration, effect)
		return effect()
	case unresponsive:
		<-ctx.Done()
		return &lostError{sent: true}
	}
	return effect()
}

// afterDelay runs the effect of a delayed message after d.
func (c *cluster) afterDelay(d time.Duration, effect func() error) {
	c.goroutines.Go(func() {
		select {
		case <-time.After(d):
			_ = effect()
		case <-c.ended:
		}
	})
}

// sleep waits for d and returns true, or returns false if ctx ends earlier.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// callerResult is the response to a caller.
type callerResult struct {
	outcome failure.Outcome
	code    failure.Code
	source  action.OutcomeSource
}

// request sends a caller's request to a gateway and returns the response. It
// returns false if there was none.
func (c *cluster) request(n *node, timeout time.Duration, fn func(context.Context, *action.Manager) callerResult) (callerResult, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	out := make(chan callerResult, 1)
	c.goroutines.Go(func() {
		defer cancel()
		if n.waitWhilePaused() && sleep(ctx, networkDelay) {
			out <- fn(ctx, n.m)
		}
	})
	select {
	case res := <-out:
		return res, !n.isDead()
	case <-time.After(timeout + time.Second):
		return callerResult{}, false
	}
}

func (n *node) isDead() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.dead
}

// runCall returns the request for a call.
func runCall(c action.Call) func(context.Context, *action.Manager) callerResult {
	return func(ctx context.Context, m *action.Manager) callerResult {
		resp, err := m.Do(ctx, c)
		if err != nil {
			r := failure.AsRefusal(err)
			return callerResult{outcome: r.Outcome, code: r.Code}
		}
		return callerResult{outcome: resp.Outcome, source: resp.Source}
	}
}

// queryOutcome returns the request for the outcome of a key.
func queryOutcome(q action.Query) func(context.Context, *action.Manager) callerResult {
	return func(ctx context.Context, m *action.Manager) callerResult {
		rec, err := m.Outcome(ctx, q)
		if err != nil {
			r := failure.AsRefusal(err)
			return callerResult{outcome: r.Outcome, code: r.Code}
		}
		return callerResult{outcome: rec.Outcome, code: rec.Reason, source: rec.Source}
	}
}

// requestFunc sends a request to a gateway's manager.
type requestFunc func(context.Context, *action.Manager) callerResult

// executions returns how often the action of a key was executed.
func (c *cluster) executions(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.executed[key]
}
