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

// eventKind is something that happens in a history.
type eventKind string

const (
	callEvent    eventKind = "call"
	otherEvent   eventKind = "other call under the key"
	leaveEvent   eventKind = "call whose caller goes away"
	outcomeEvent eventKind = "outcome"
	killEvent    eventKind = "kill"
	pauseEvent   eventKind = "pause"
	cutEvent     eventKind = "cut"
	awayEvent    eventKind = "store away"
	stopEvent    eventKind = "graceful stop"
	startEvent   eventKind = "start"
	settleEvent  eventKind = "settle and sweep"
)

var eventKinds = []eventKind{
	callEvent, callEvent, callEvent, callEvent, callEvent, callEvent, otherEvent, leaveEvent, outcomeEvent, outcomeEvent,
	killEvent, pauseEvent, cutEvent, awayEvent, stopEvent, startEvent, settleEvent, settleEvent,
}

// moments are the times at which events happen; many share one.
var moments = []time.Duration{
	0, 0, 0, hop, 3 * hop, 5 * hop, 100 * time.Millisecond, 400 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second,
	29 * time.Second, 31 * time.Second, time.Minute, 119 * time.Second, 121 * time.Second, 3 * time.Minute,
}

var spans = []time.Duration{
	20 * time.Millisecond, 350 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second, 40 * time.Second, 130 * time.Second, 5 * time.Minute,
}

// event is one line of a history.
type event struct {
	at    time.Duration
	kind  eventKind
	node  int
	key   int
	lasts time.Duration
}

// keyPlan is one action's key: a caller's own, or a ticket.
type keyPlan struct {
	own    bool
	issuer int
}

// history is a random course of events.
type history struct {
	nodes  int
	keys   []keyPlan
	events []event
	faults []injection
	// closing says whether callers ask for outcomes before their last try.
	closing bool
	// checksFencing says whether the service refuses a second delivery.
	checksFencing bool
}

func drawHistory(t *rapid.T) history {
	h := history{nodes: rapid.IntRange(1, 3).Draw(t, "nodes"), closing: rapid.Bool().Draw(t, "closing")}
	node := rapid.IntRange(0, h.nodes)
	h.keys = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) keyPlan {
		return keyPlan{own: rapid.Bool().Draw(t, "own"), issuer: rapid.IntRange(0, h.nodes-1).Draw(t, "issuer")}
	}), 1, 3).Draw(t, "keys")
	h.events = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			at:    rapid.SampledFrom(moments).Draw(t, "at"),
			kind:  rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			node:  node.Draw(t, "node"),
			key:   rapid.IntRange(0, len(h.keys)-1).Draw(t, "key"),
			lasts: rapid.SampledFrom(spans).Draw(t, "lasts"),
		}
	}), 3, 14).Draw(t, "events")
	steps := action.Steps()
	h.faults = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) injection {
		info := rapid.SampledFrom(steps).Draw(t, "step")
		return injection{
			node:  node.Draw(t, "node"),
			step:  info.Step,
			nth:   rapid.IntRange(1, 2).Draw(t, "nth"),
			kind:  rapid.SampledFrom(faultsAt(info)).Draw(t, "fault"),
			lasts: rapid.SampledFrom(spans).Draw(t, "lasts"),
		}
	}), 0, 5).Draw(t, "faults")
	h.faults = slices.DeleteFunc(h.faults, func(in injection) bool { return in.step == action.StepSend && in.kind == twice })
	return h
}

// tally counts what callers were told over many histories.
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

// play runs a history and returns the promises that it broke.
type play struct {
	w      *world
	h      history
	tally  *tally
	mu     sync.Mutex
	keys   []string
	heard  []map[failure.Outcome]bool
	broken []string
}

func (h history) run(t *testing.T, c *tally) (broken []string) {
	synctest.Test(t, func(*testing.T) {
		p := &play{w: newWorld(h.nodes, h.faults), h: h, tally: c}
		p.w.checksFencing = h.checksFencing
		p.makeKeys()
		begin := time.Now()
		sort.SliceStable(h.events, func(i, j int) bool { return h.events[i].at < h.events[j].at })
		for _, e := range h.events {
			time.Sleep(time.Until(begin.Add(e.at)))
			p.w.running.Go(func() { p.happen(e) })
		}
		time.Sleep(10 * time.Minute)
		p.tempt()
		time.Sleep(time.Minute)
		p.w.end()
		p.judge()
		c.mu.Lock()
		c.counts["faults that struck"] += p.w.fired
		c.mu.Unlock()
		broken = p.broken
	})
	return broken
}

// customer is the caller of every history.
const customer = "customer"

func (p *play) makeKeys() {
	for i, k := range p.h.keys {
		key := fmt.Sprintf("own-%d", i)
		if !k.own {
			r, err := p.w.nodes[k.issuer].m.IssueTickets(customer, 2)
			if err != nil {
				panic(err)
			}
			key = r.Key(r.First)
		}
		p.keys = append(p.keys, key)
		p.heard = append(p.heard, map[failure.Outcome]bool{})
	}
}

// node returns the gateway that an event is about.
func (p *play) node(i int) *node {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	return p.w.nodes[i%len(p.w.nodes)]
}

func (p *play) call(key int, body string) action.Call {
	return action.Call{Customer: customer, Key: p.keys[key], Service: "booking", Name: "confirm", Body: []byte(body), RequestID: p.keys[key]}
}

func (p *play) happen(e event) {
	n := p.node(e.node)
	switch e.kind {
	case callEvent:
		p.hear(e.key, n, min(e.lasts, 10*time.Second), do(p.call(e.key, "body")))
	case otherEvent:
		p.hear(e.key, n, min(e.lasts, 10*time.Second), do(p.call(e.key, "other")))
	case leaveEvent:
		p.leave(e, n)
	case outcomeEvent:
		p.hear(e.key, n, min(e.lasts, 10*time.Second), outcome(action.Query{Customer: customer, Key: p.keys[e.key]}))
	case killEvent:
		n.kill()
	case pauseEvent:
		n.pause(e.lasts)
	case cutEvent:
		n.cut(e.lasts)
	case awayEvent:
		p.w.takeStoreAway(e.lasts)
	case stopEvent:
		p.stop(n, e.lasts)
	case startEvent:
		p.w.start()
	case settleEvent:
		if n.gate() {
			n.m.WritePendingOutcomes(context.Background(), 8)
			n.m.RemoveExpired()
		}
	}
}

// leave sends a call and cancels it a moment later.
func (p *play) leave(e event, n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	p.w.running.Go(func() {
		if n.gate() {
			_, _ = n.m.Do(ctx, p.call(e.key, "body"))
		}
	})
	time.Sleep(hop)
	cancel()
}

// stop is a graceful stop of a gateway.
func (p *play) stop(n *node, patience time.Duration) {
	if !n.gate() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	n.m.Seal(ctx, time.Second)
	n.kill()
}

// hear notes what a caller is told, and checks at once that what is told as
// ran has run.
func (p *play) hear(key int, n *node, timeout time.Duration, fn asking) {
	t, ok := p.w.ask(n, timeout, fn)
	if !ok {
		return
	}
	ran := p.w.runs(p.keys[key])
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[key][t.outcome] = true
	p.tally.add(string(t.outcome) + " " + string(t.code) + " " + string(t.way))
	if t.outcome == failure.Ran && ran == 0 {
		p.broken = append(p.broken, fmt.Sprintf("key %d was told as ran before it ran (%s)", key, t.code))
	}
	if t.outcome == failure.NotRun && ran > 0 {
		p.broken = append(p.broken, fmt.Sprintf("key %d was told as not run (%s) after it ran", key, t.code))
	}
}

// tempt retries every action everywhere, long after.
func (p *play) tempt() {
	var all sync.WaitGroup
	for i := range p.keys {
		for _, n := range p.w.gateways() {
			all.Go(func() {
				if p.h.closing {
					p.hear(i, n, 5*time.Second, outcome(action.Query{Customer: customer, Key: p.keys[i]}))
				}
				p.hear(i, n, 5*time.Second, do(p.call(i, "body")))
			})
		}
	}
	all.Wait()
}

// judge checks the promises at the end of the history.
func (p *play) judge() {
	for i, key := range p.keys {
		n := p.w.runs(key)
		p.tally.add(fmt.Sprintf("executions %d", n))
		if n > 1 {
			p.broken = append(p.broken, fmt.Sprintf("key %d ran %d times", i, n))
		}
		if n > 0 && p.heard[i][failure.NotRun] {
			p.broken = append(p.broken, fmt.Sprintf("key %d was told as not run and ran", i))
		}
		if p.heard[i][failure.NotRun] && p.heard[i][failure.Ran] {
			p.broken = append(p.broken, fmt.Sprintf("key %d was told as ran and as not run", i))
		}
	}
}

// TestHistories drives random histories of callers, retries and faults. More
// of them: go test -run TestHistories -rapid.checks=100000 -rapid.seed=N.
func TestHistories(t *testing.T) {
	c := newTally()
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		if broken := h.run(t, c); len(broken) > 0 {
			rt.Fatalf("%s\nhistory: %+v", strings.Join(broken, "\n"), h)
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
	for _, way := range []string{"ran  ticket", "ran  ticket_forwarded", "ran  claim", "ran  sealed", "executions 0", "executions 1"} {
		require.NotZero(t, c.counts[way], "no history reached %q", way)
	}
}
