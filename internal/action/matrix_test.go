package action_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/failure"
)

// pairStride makes TestMatrixPairs take every nth pair of faults; 1 takes all.
var pairStride = flag.Int("pairs", 97, "take every nth pair of faults")

// outage is the length of pauses, cuts and outages in the matrix: longer than
// every deadline, shorter than a ticket's validity.
const outage = 20 * time.Second

// course is what callers and operators do while the faults strike.
type course struct {
	name string
	h    history
	// takes says whether the course takes a step.
	takes func(action.StepInfo) bool
}

func courses() []course {
	calls := func(first, second int) []event {
		return []event{
			{at: 0, kind: callEvent, node: first, lasts: time.Second},
			{at: 0, kind: callEvent, node: second, lasts: time.Second},
			{at: 2 * time.Second, kind: callEvent, node: second, lasts: time.Second},
			{at: 4 * time.Second, kind: outcomeEvent, node: second, lasts: time.Second},
			{at: 5 * time.Second, kind: settleEvent, node: first},
			{at: time.Minute, kind: settleEvent, node: first},
			{at: 3 * time.Minute, kind: settleEvent, node: first},
		}
	}
	stopping := []event{
		{at: 5 * hop, kind: stopEvent, node: 0, lasts: 2 * hop},
		{at: 2 * time.Second, kind: startEvent},
		{at: 3 * time.Second, kind: callEvent, node: 3, lasts: time.Second},
	}
	ticket := []keyPlan{{issuer: 0}}
	own := []keyPlan{{own: true}}
	tickets := func(i action.StepInfo) bool { return i.Tickets }
	claims := func(i action.StepInfo) bool { return i.Claims }
	ticketStop := func(i action.StepInfo) bool { return i.Tickets || i.Stop }
	claimStop := func(i action.StepInfo) bool { return i.Claims || i.Stop }
	return []course{
		{name: "ticket", h: history{nodes: 3, keys: ticket, events: calls(0, 1)}, takes: tickets},
		{name: "own key", h: history{nodes: 3, keys: own, events: calls(0, 1)}, takes: claims},
		{name: "ticket and stop", h: history{nodes: 3, keys: ticket, events: append(calls(0, 1), stopping...)}, takes: ticketStop},
		{name: "own key and stop", h: history{nodes: 3, keys: own, events: append(calls(0, 1), stopping...)}, takes: claimStop},
	}
}

// unprovable are the cells that no gateway can carry alone.
func unprovable(in injection) bool {
	// An order delivered twice by the network is executed twice by an endpoint
	// that neither checks fencing nor deduplicates.
	return in.step == action.StepSend && in.kind == twice
}

// cells lists the single faults of a course, at each gateway.
func (c course) cells() (cells []injection) {
	for _, info := range action.Steps() {
		if !c.takes(info) {
			continue
		}
		for _, kind := range faultsAt(info) {
			for _, node := range []int{0, 1, 3} {
				if node == 3 && info.Step != action.StepSealRead {
					continue
				}
				cells = append(cells, injection{node: node, step: info.Step, nth: 1, kind: kind, lasts: outage})
			}
		}
	}
	return cells
}

// with returns the course's history with faults.
func (c course) with(checksFencing bool, faults ...injection) history {
	h := c.h
	h.faults = faults
	h.checksFencing = checksFencing
	return h
}

// TestMatrix strikes each fault at each step of each course.
func TestMatrix(t *testing.T) {
	struck := map[action.Step]int{}
	for _, c := range courses() {
		for _, in := range c.cells() {
			for _, closing := range []bool{false, true} {
				tally := newTally()
				h := c.with(unprovable(in), in)
				h.closing = closing
				broken := h.run(t, tally)
				require.Empty(t, broken, "%s: node %d %s %s", c.name, in.node, in.step, in.kind)
				struck[in.step] += tally.counts["faults that struck"]
			}
		}
	}
	for _, info := range action.Steps() {
		require.NotZero(t, struck[info.Step], "no fault struck at step %s", info.Step)
	}
}

// TestMatrixPairs strikes two faults in one course. -pairs=1 takes all pairs.
func TestMatrixPairs(t *testing.T) {
	n := 0
	for _, c := range courses() {
		cells := c.cells()
		for i, a := range cells {
			for _, b := range cells[i+1:] {
				n++
				if n%*pairStride != 0 {
					continue
				}
				h := c.with(unprovable(a) || unprovable(b), a, b)
				h.closing = n/(*pairStride)%2 == 0
				require.Empty(t, h.run(t, newTally()), "%s: node %d %s %s and node %d %s %s", c.name, a.node, a.step, a.kind, b.node, b.step, b.kind)
			}
		}
	}
	t.Logf("%d of %d pairs", n / *pairStride, n)
}

// TestCalm: without faults every call is answered as ran, also from a seal.
func TestCalm(t *testing.T) {
	for _, c := range courses() {
		tally := newTally()
		require.Empty(t, c.with(false).run(t, tally))
		if c.name == "ticket" || c.name == "own key" {
			require.Equal(t, 1, tally.counts["executions 1"], "%s: %v", c.name, tally.counts)
			require.Zero(t, tally.with(failure.NotRun), "%s: %v", c.name, tally.counts)
			// The last tries come after the ticket's record is forgotten, and a
			// second caller at the same moment may be told to ask again.
			allowed := tally.counts["unknown ticket_expired "] + tally.counts["unknown in_progress "]
			require.Equal(t, allowed, tally.with(failure.Unknown), "%s: %v", c.name, tally.counts)
		}
	}
}

// scenario is a course made for one mechanism, with what callers must be told.
type scenario struct {
	h    history
	want []string
	not  []string
}

func TestScenarios(t *testing.T) {
	own := []keyPlan{{own: true}}
	ticket := []keyPlan{{issuer: 0}}
	call := func(at time.Duration, node int) event {
		return event{at: at, kind: callEvent, node: node, lasts: time.Second}
	}
	stop := func(at, patience time.Duration) event { return event{at: at, kind: stopEvent, lasts: patience} }
	away := func(at, lasts time.Duration) event { return event{at: at, kind: awayEvent, lasts: lasts} }
	scenarios := map[string]scenario{
		"a claim confirmed after the seal is not sent": {
			h: history{nodes: 2, keys: own, events: []event{call(0, 0), stop(2*hop, 0)}, faults: []injection{
				{step: action.StepClaimWrite, nth: 1, kind: answerLost},
				{step: action.StepSealSend, nth: 1, kind: silent},
			}},
			want: []string{"executions 0"},
		},
		"the seal carries outcomes that the store didn't take": {
			h: history{nodes: 2, keys: own, events: []event{
				call(0, 0), away(3*hop, 30*time.Second), stop(20*hop, time.Second), call(time.Minute, 1),
			}},
			want: []string{"executions 1", "ran  claim"},
			not:  []string{"unknown owner_unreachable "},
		},
		"an outcome written between the read of the claim and the seal": {
			h: history{nodes: 2, keys: own, events: []event{
				call(0, 0), {at: 6 * hop, kind: callEvent, node: 1, lasts: 5 * time.Second}, stop(200*time.Millisecond, time.Second),
			}, faults: []injection{
				{node: 0, step: action.StepCommit, nth: 1, kind: pauseBefore, lasts: 100 * time.Millisecond},
				{node: 1, step: action.StepClaimRead, nth: 1, kind: pauseAfter, lasts: 1500 * time.Millisecond},
			}},
			want: []string{"executions 1"},
			not:  []string{"not_run draining "},
		},
		"a seal says nothing of records forgotten before it": {
			h: history{nodes: 2, keys: ticket, events: []event{
				call(0, 0), {at: 3 * time.Minute, kind: settleEvent}, stop(3*time.Minute+time.Second, time.Second), call(4*time.Minute, 1),
			}},
			want: []string{"executions 1", "unknown owner_unreachable "},
		},
		"a ticket is answered from the seal": {
			h:    history{nodes: 2, keys: ticket, events: []event{call(0, 0), stop(time.Second, time.Second), call(2*time.Second, 1)}},
			want: []string{"executions 1", "ran  sealed"},
		},
		"an unused ticket is void after the seal": {
			h:    history{nodes: 2, keys: ticket, events: []event{stop(0, time.Second), call(2*time.Second, 1)}},
			want: []string{"executions 0", "not_run draining "},
		},
		"a ticket runs while the store is away": {
			h:    history{nodes: 2, keys: ticket, events: []event{away(0, time.Hour), call(time.Second, 1)}},
			want: []string{"executions 1", "ran  ticket_forwarded"},
		},
		"an own key is unknown while the store is away": {
			h:    history{nodes: 1, keys: own, events: []event{call(0, 0), away(time.Second, time.Hour), call(20*time.Second, 0)}},
			want: []string{"executions 1", "ran  claim"},
			not:  []string{"not_run store_unavailable "},
		},
		"a paused owner that wakes sends nothing late": {
			h: history{nodes: 1, keys: ticket, events: []event{{kind: leaveEvent}}, faults: []injection{
				{step: action.StepDial, nth: 1, kind: pauseAfter, lasts: 25 * time.Second},
			}},
			want: []string{"executions 0", "not_run deadline_exceeded "},
		},
	}
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			tally := newTally()
			require.Empty(t, s.h.run(t, tally))
			for _, w := range s.want {
				require.NotZero(t, tally.counts[w], "%q is missing in %v", w, tally.counts)
			}
			for _, w := range s.not {
				require.Zero(t, tally.counts[w], "%q is in %v", w, tally.counts)
			}
		})
	}
}

// with counts the answers of an outcome.
func (c *tally) with(o failure.Outcome) (n int) {
	for name, count := range c.counts {
		var outcome string
		if _, err := fmt.Sscan(name, &outcome); err == nil && outcome == string(o) {
			n += count
		}
	}
	return n
}

// TestReapClaims: a claim in doubt stays far longer than one with an outcome,
// which goes by its lease or, without one, by the reaper.
func TestReapClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2, []injection{{node: 0, step: action.StepCommit, nth: 1, kind: killBefore}, {node: 1, step: grantStep, nth: 1, kind: requestLost}})
		defer w.end()
		call := func(n int, key string) {
			w.ask(w.nodes[n], time.Second, do(action.Call{Customer: customer, Key: key, RequestID: key}))
			time.Sleep(time.Second)
		}
		call(0, "in-doubt")
		call(1, "no-lease")
		call(1, "leased")
		reap := func() (left, removed, inDoubt int) {
			for i := range action.ClaimPartitions {
				r, err := w.nodes[1].m.ReapClaims(t.Context(), action.ClaimPartitionPrefix(i), 8)
				require.NoError(t, err)
				left += r.Listed - r.Removed
				removed += r.Removed
				inDoubt += r.InDoubt
			}
			return left, removed, inDoubt
		}
		check := func(left, removed, inDoubt int) {
			t.Helper()
			l, r, d := reap()
			require.Equal(t, []int{left, removed, inDoubt}, []int{l, r, d})
		}
		check(3, 0, 0)
		time.Sleep(25*time.Hour + 30*time.Minute)
		check(2, 0, 1)
		time.Sleep(time.Hour)
		check(1, 1, 1)
		time.Sleep(action.InDoubtMemory)
		check(0, 1, 1)
	})
}
