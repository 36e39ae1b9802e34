package action_test

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/failure"
)

// eventKind is a kind of event in a history.
type eventKind string

const (
	callEvent          eventKind = "call"
	differentCallEvent eventKind = "different call under the key"
	cancelledCallEvent eventKind = "cancelled call"
	outcomeEvent       eventKind = "outcome"
	killEvent          eventKind = "kill"
	pauseEvent         eventKind = "pause"
	isolateEvent       eventKind = "isolate"
	storeDownEvent     eventKind = "store down"
	stopEvent          eventKind = "graceful stop"
	startEvent         eventKind = "start"
	storeCopyEvent     eventKind = "copy of the store"
	storeRestoreEvent  eventKind = "restore of the store"
	maintenanceEvent   eventKind = "write pending outcomes and remove expired records"
)

// eventKinds lists the kinds of events in random histories. A kind that occurs
// more often is drawn more often.
var eventKinds = []eventKind{
	callEvent, callEvent, callEvent, callEvent, callEvent, callEvent, differentCallEvent, cancelledCallEvent, outcomeEvent, outcomeEvent,
	killEvent, pauseEvent, isolateEvent, storeDownEvent, stopEvent, startEvent, maintenanceEvent, maintenanceEvent, storeCopyEvent, storeRestoreEvent,
}

// eventTimes are the times at which events of random histories happen. There
// are few, so that many events coincide.
var eventTimes = []time.Duration{
	0, 0, 0, networkDelay, 3 * networkDelay, 5 * networkDelay, 100 * time.Millisecond, 400 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second,
	29 * time.Second, 31 * time.Second, time.Minute, 119 * time.Second, 121 * time.Second, 3 * time.Minute,
}

var eventDurations = []time.Duration{
	20 * time.Millisecond, 350 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second, 40 * time.Second, 130 * time.Second, 5 * time.Minute,
}

// event is one event of a history. duration is the length of a pause, an
// isolation or an outage, or the timeout of a request.
type event struct {
	at       time.Duration
	kind     eventKind
	node     int
	key      int
	duration time.Duration
}

// keySpec describes the key of one action: a caller key, or a ticket of the
// node issuer.
type keySpec struct {
	callerKey bool
	issuer    int
}

// history is a sequence of events and the faults to inject.
type history struct {
	nodes  int
	keys   []keySpec
	events []event
	faults []injection
	// queryBeforeRetry reports whether callers query the outcome before the
	// last retry.
	queryBeforeRetry bool
	// checksFencing reports whether the service refuses a second delivery.
	checksFencing bool
}

func drawHistory(t *rapid.T) history {
	h := history{nodes: rapid.IntRange(1, 3).Draw(t, "nodes"), queryBeforeRetry: rapid.Bool().Draw(t, "queryBeforeRetry")}
	node := rapid.IntRange(0, h.nodes)
	h.keys = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) keySpec {
		return keySpec{callerKey: rapid.Bool().Draw(t, "callerKey"), issuer: rapid.IntRange(0, h.nodes-1).Draw(t, "issuer")}
	}), 1, 3).Draw(t, "keys")
	h.events = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			at:       rapid.SampledFrom(eventTimes).Draw(t, "at"),
			kind:     rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			node:     node.Draw(t, "node"),
			key:      rapid.IntRange(0, len(h.keys)-1).Draw(t, "key"),
			duration: rapid.SampledFrom(eventDurations).Draw(t, "duration"),
		}
	}), 3, 14).Draw(t, "events")
	steps := action.Steps()
	h.faults = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) injection {
		info := rapid.SampledFrom(steps).Draw(t, "step")
		return injection{
			node:     node.Draw(t, "node"),
			step:     info.Step,
			nth:      rapid.IntRange(1, 2).Draw(t, "nth"),
			kind:     rapid.SampledFrom(faultsAt(info)).Draw(t, "fault"),
			duration: rapid.SampledFrom(eventDurations).Draw(t, "duration"),
		}
	}), 0, 5).Draw(t, "faults")
	h.faults = slices.DeleteFunc(h.faults, func(in injection) bool { return in.step == action.StepSend && in.kind == duplicated })
	return h
}

// tally counts the responses to callers over many histories.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func newTally() *tally { return &tally{counts: map[string]int{}} }

func (c *tally) add(s string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[s]++
}

// historyRun is one run of a history.
type historyRun struct {
	cluster *cluster
	history history
	tally   *tally
	mu      sync.Mutex
	keys    []string
	// outcomesSeen holds the outcomes that callers got, by key.
	outcomesSeen []map[failure.Outcome]bool
	// violations describes the violated invariants.
	violations []string
}

// run runs the history and returns the violated invariants.
func (h history) run(t *testing.T, c *tally) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		p := &historyRun{cluster: newCluster(h.nodes, h.faults), history: h, tally: c}
		p.cluster.checksFencing = h.checksFencing
		p.makeKeys()
		begin := time.Now()
		sort.SliceStable(h.events, func(i, j int) bool { return h.events[i].at < h.events[j].at })
		for _, e := range h.events {
			time.Sleep(time.Until(begin.Add(e.at)))
			p.cluster.goroutines.Go(func() { p.apply(e) })
		}
		time.Sleep(10 * time.Minute)
		p.retryAll()
		time.Sleep(time.Minute)
		p.cluster.end()
		p.checkInvariants()
		c.mu.Lock()
		c.counts["faults injected"] += p.cluster.injected
		c.mu.Unlock()
		violations = p.violations
	})
	return violations
}

// customer is the customer of every call.
const customer = "customer"

func (p *historyRun) makeKeys() {
	for i, k := range p.history.keys {
		key := fmt.Sprintf("own-%d", i)
		if !k.callerKey {
			r, err := p.cluster.nodes[k.issuer].m.IssueTickets(customer, 2)
			if err != nil {
				panic(err)
			}
			key = r.Key(r.First)
		}
		p.keys = append(p.keys, key)
		p.outcomesSeen = append(p.outcomesSeen, map[failure.Outcome]bool{})
	}
}

// node returns node i, modulo the number of nodes so far.
func (p *historyRun) node(i int) *node {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	return p.cluster.nodes[i%len(p.cluster.nodes)]
}

func (p *historyRun) call(key int, body string) action.Call {
	return action.Call{Customer: customer, Key: p.keys[key], Service: "booking", Name: "confirm", Body: []byte(body), RequestID: p.keys[key]}
}

func (p *historyRun) apply(e event) {
	n := p.node(e.node)
	switch e.kind {
	case callEvent:
		p.request(e.key, n, min(e.duration, 10*time.Second), runCall(p.call(e.key, "body")))
	case differentCallEvent:
		p.request(e.key, n, min(e.duration, 10*time.Second), runCall(p.call(e.key, "other")))
	case cancelledCallEvent:
		p.cancelCall(e, n)
	case outcomeEvent:
		p.request(e.key, n, min(e.duration, 10*time.Second), queryOutcome(action.Query{Customer: customer, Key: p.keys[e.key]}))
	case killEvent:
		n.kill()
	case pauseEvent:
		n.pause(e.duration)
	case isolateEvent:
		n.isolate(e.duration)
	case storeDownEvent:
		p.cluster.failStore(e.duration)
	case storeCopyEvent:
		p.cluster.copyStore()
	case storeRestoreEvent:
		p.cluster.restoreStore()
	case stopEvent:
		p.stop(n, e.duration)
	case startEvent:
		p.cluster.start()
	case maintenanceEvent:
		if n.waitWhilePaused() {
			n.m.WritePendingOutcomes(context.Background(), 8)
			n.m.RemoveExpired()
		}
	}
}

// cancelCall sends a call and cancels its context after networkDelay.
func (p *historyRun) cancelCall(e event, n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	p.cluster.goroutines.Go(func() {
		if n.waitWhilePaused() {
			_, _ = n.m.Do(ctx, p.call(e.key, "body"))
		}
	})
	time.Sleep(networkDelay)
	cancel()
}

// stop stops a gateway gracefully.
func (p *historyRun) stop(n *node, timeout time.Duration) {
	if !n.waitWhilePaused() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	n.m.Seal(ctx, time.Second)
	n.kill()
}

// request sends a request, records the outcome that the caller gets, and checks
// that an action reported as ran has run by then, and one reported as not run
// has not.
func (p *historyRun) request(key int, n *node, timeout time.Duration, fn requestFunc) {
	res, ok := p.cluster.request(n, timeout, fn)
	if !ok {
		return
	}
	ran := p.cluster.executions(p.keys[key])
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomesSeen[key][res.outcome] = true
	p.tally.add(string(res.outcome) + " " + string(res.code) + " " + string(res.source))
	if res.outcome == failure.Ran && ran == 0 {
		p.violations = append(p.violations, fmt.Sprintf("key %d was reported as ran before it ran (%s)", key, res.code))
	}
	if res.outcome == failure.NotRun && ran > 0 {
		p.violations = append(p.violations, fmt.Sprintf("key %d was reported as not run (%s) after it ran", key, res.code))
	}
}

// retryAll retries every action at every gateway, after all events.
func (p *historyRun) retryAll() {
	var retries sync.WaitGroup
	for i := range p.keys {
		for _, n := range p.cluster.gateways() {
			retries.Go(func() {
				if p.history.queryBeforeRetry {
					p.request(i, n, 5*time.Second, queryOutcome(action.Query{Customer: customer, Key: p.keys[i]}))
				}
				p.request(i, n, 5*time.Second, runCall(p.call(i, "body")))
			})
		}
	}
	retries.Wait()
}

// checkInvariants checks the number of executions and the reported outcomes of
// each action at the end of the history.
func (p *historyRun) checkInvariants() {
	for i, key := range p.keys {
		n := p.cluster.executions(key)
		p.tally.add(fmt.Sprintf("executions %d", n))
		if n > 1 {
			p.violations = append(p.violations, fmt.Sprintf("key %d ran %d times", i, n))
		}
		if n > 0 && p.outcomesSeen[i][failure.NotRun] {
			p.violations = append(p.violations, fmt.Sprintf("key %d was reported as not run and ran", i))
		}
		if p.outcomesSeen[i][failure.NotRun] && p.outcomesSeen[i][failure.Ran] {
			p.violations = append(p.violations, fmt.Sprintf("key %d was reported as ran and as not run", i))
		}
	}
}

// TestHistories runs random histories of calls, retries and faults, and checks
// that no action runs twice and that no reported outcome is wrong. To run more
// of them: go test -run TestHistories -rapid.checks=100000 -rapid.seed=N.
func TestHistories(t *testing.T) {
	c := newTally()
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		if violations := h.run(t, c); len(violations) > 0 {
			rt.Fatalf("%s\nhistory: %+v", strings.Join(violations, "\n"), h)
		}
	})
	var names []string
	for name := range c.counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		t.Logf("%6d %s", c.counts[name], name)
	}
	for _, want := range []string{"ran  ticket", "ran  ticket_forwarded", "ran  claim", "ran  sealed", "executions 0", "executions 1"} {
		require.NotZero(t, c.counts[want], "no history reached %q", want)
	}
}
