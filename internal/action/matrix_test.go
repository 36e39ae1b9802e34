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

// pairStride makes TestMatrixPairs run every nth pair of faults. 1 runs all of
// them.
var pairStride = flag.Int("pairs", 97, "run every nth pair of faults")

// faultDuration is the length of pauses, isolations and outages in the matrix.
// It is longer than every deadline and shorter than the validity of a ticket.
const faultDuration = 20 * time.Second

// workload is the sequence of events during which faults are injected.
type workload struct {
	name    string
	history history
	// includesStep reports whether the workload performs a step.
	includesStep func(action.StepInfo) bool
}

func workloads() []workload {
	calls := func(first, second int) []event {
		return []event{
			{at: 0, kind: callEvent, node: first, duration: time.Second},
			{at: 0, kind: callEvent, node: second, duration: time.Second},
			{at: 2 * time.Second, kind: callEvent, node: second, duration: time.Second},
			{at: 4 * time.Second, kind: outcomeEvent, node: second, duration: time.Second},
			{at: 5 * time.Second, kind: maintenanceEvent, node: first},
			{at: time.Minute, kind: maintenanceEvent, node: first},
			{at: 3 * time.Minute, kind: maintenanceEvent, node: first},
		}
	}
	stopping := []event{
		{at: 5 * networkDelay, kind: stopEvent, node: 0, duration: 2 * networkDelay},
		{at: 2 * time.Second, kind: startEvent},
		{at: 3 * time.Second, kind: callEvent, node: 3, duration: time.Second},
	}
	ticket := []keySpec{{issuer: 0}}
	callerKey := []keySpec{{callerKey: true}}
	tickets := func(i action.StepInfo) bool { return i.Tickets }
	claims := func(i action.StepInfo) bool { return i.Claims }
	ticketStop := func(i action.StepInfo) bool { return i.Tickets || i.Stop }
	claimStop := func(i action.StepInfo) bool { return i.Claims || i.Stop }
	return []workload{
		{name: "ticket", history: history{nodes: 3, keys: ticket, events: calls(0, 1)}, includesStep: tickets},
		{name: "caller key", history: history{nodes: 3, keys: callerKey, events: calls(0, 1)}, includesStep: claims},
		{name: "ticket and stop", history: history{nodes: 3, keys: ticket, events: append(calls(0, 1), stopping...)}, includesStep: ticketStop},
		{name: "caller key and stop", history: history{nodes: 3, keys: callerKey, events: append(calls(0, 1), stopping...)}, includesStep: claimStop},
	}
}

// needsFencing reports whether at-most-once execution under a fault takes an
// endpoint that checks fencing tokens.
func needsFencing(in injection) bool {
	// A request that the network delivers twice is executed twice by an
	// endpoint that neither checks fencing tokens nor deduplicates.
	return in.step == action.StepSend && in.kind == duplicated
}

// singleFaults returns each fault at each step of the workload, at nodes 0 and
// 1, and for StepSealRead also at node 3, which is started last.
func (c workload) singleFaults() (faults []injection) {
	for _, info := range action.Steps() {
		if !c.includesStep(info) {
			continue
		}
		for _, kind := range faultsAt(info) {
			for _, node := range []int{0, 1, 3} {
				if node == 3 && info.Step != action.StepSealRead {
					continue
				}
				faults = append(faults, injection{node: node, step: info.Step, nth: 1, kind: kind, duration: faultDuration})
			}
		}
	}
	return faults
}

// withFaults returns the workload's history with the given faults.
func (c workload) withFaults(checksFencing bool, faults ...injection) history {
	h := c.history
	h.faults = faults
	h.checksFencing = checksFencing
	return h
}

// TestMatrix injects each fault at each step of each workload.
func TestMatrix(t *testing.T) {
	injected := map[action.Step]int{}
	for _, c := range workloads() {
		for _, in := range c.singleFaults() {
			for _, query := range []bool{false, true} {
				tally := newTally()
				h := c.withFaults(needsFencing(in), in)
				h.queryBeforeRetry = query
				violations := h.run(t, tally)
				require.Empty(t, violations, "%s: node %d %s %s", c.name, in.node, in.step, in.kind)
				injected[in.step] += tally.counts["faults injected"]
			}
		}
	}
	for _, info := range action.Steps() {
		require.NotZero(t, injected[info.Step], "no fault was injected at step %s", info.Step)
	}
}

// TestMatrixPairs injects two faults in each run of a workload. -pairs=1 runs
// all pairs.
func TestMatrixPairs(t *testing.T) {
	n := 0
	for _, c := range workloads() {
		faults := c.singleFaults()
		for i, a := range faults {
			for _, b := range faults[i+1:] {
				n++
				if n%*pairStride != 0 {
					continue
				}
				h := c.withFaults(needsFencing(a) || needsFencing(b), a, b)
				h.queryBeforeRetry = n/(*pairStride)%2 == 0
				require.Empty(t, h.run(t, newTally()), "%s: node %d %s %s and node %d %s %s", c.name, a.node, a.step, a.kind, b.node, b.step, b.kind)
			}
		}
	}
	t.Logf("%d of %d pairs", n / *pairStride, n)
}

// TestCallsRunWithoutFaults: without faults every action runs once, and callers
// get the outcome ran, or unknown where the record has been removed or the
// action is still running.
func TestCallsRunWithoutFaults(t *testing.T) {
	for _, c := range workloads() {
		tally := newTally()
		require.Empty(t, c.withFaults(false).run(t, tally))
		if c.name == "ticket" || c.name == "caller key" {
			require.Equal(t, 1, tally.counts["executions 1"], "%s: %v", c.name, tally.counts)
			require.Zero(t, tally.countOutcome(failure.NotRun), "%s: %v", c.name, tally.counts)
			// The last retries come after the ticket's record has been removed,
			// and a second caller at the same moment may be told to query the
			// outcome later.
			allowed := tally.counts["unknown ticket_expired "] + tally.counts["unknown in_progress "]
			require.Equal(t, allowed, tally.countOutcome(failure.Unknown), "%s: %v", c.name, tally.counts)
		}
	}
}

// scenario is a history that exercises one mechanism, with tally entries that
// must occur and ones that must not.
type scenario struct {
	history  history
	want     []string
	unwanted []string
}

func TestScenarios(t *testing.T) {
	callerKey := []keySpec{{callerKey: true}}
	ticket := []keySpec{{issuer: 0}}
	call := func(at time.Duration, node int) event {
		return event{at: at, kind: callEvent, node: node, duration: time.Second}
	}
	stop := func(at, timeout time.Duration) event { return event{at: at, kind: stopEvent, duration: timeout} }
	storeDown := func(at, duration time.Duration) event {
		return event{at: at, kind: storeDownEvent, duration: duration}
	}
	scenarios := map[string]scenario{
		"a claim confirmed after the seal is not sent": {
			history: history{nodes: 2, keys: callerKey, events: []event{call(0, 0), stop(2*networkDelay, 0)}, faults: []injection{
				{step: action.StepClaimWrite, nth: 1, kind: responseLost},
				{step: action.StepSealSend, nth: 1, kind: unresponsive},
			}},
			want: []string{"executions 0"},
		},
		"an outcome that the store lost after the seal": {
			history: history{nodes: 2, keys: callerKey, events: []event{
				call(0, 0),
				{at: 5 * networkDelay, kind: storeCopyEvent},
				stop(time.Second, time.Second),
				{at: 3 * time.Second, kind: storeRestoreEvent},
				call(10*time.Second, 1),
			}},
			want:     []string{"executions 1", "unknown owner_unreachable "},
			unwanted: []string{"not_run draining "},
		},
		"the seal holds outcomes that the store didn't accept": {
			history: history{nodes: 2, keys: callerKey, events: []event{
				call(0, 0), storeDown(3*networkDelay, 30*time.Second), stop(20*networkDelay, time.Second), call(time.Minute, 1),
			}},
			want:     []string{"executions 1", "ran  claim"},
			unwanted: []string{"unknown owner_unreachable "},
		},
		"an outcome written between the read of the claim and the seal": {
			history: history{nodes: 2, keys: callerKey, events: []event{
				call(0, 0), {at: 6 * networkDelay, kind: callEvent, node: 1, duration: 5 * time.Second}, stop(200*time.Millisecond, time.Second),
			}, faults: []injection{
				{node: 0, step: action.StepCommit, nth: 1, kind: pauseBefore, duration: 100 * time.Millisecond},
				{node: 1, step: action.StepClaimRead, nth: 1, kind: pauseAfter, duration: 1500 * time.Millisecond},
			}},
			want:     []string{"executions 1"},
			unwanted: []string{"not_run draining "},
		},
		"the outcome of a record that expired before the seal is unknown": {
			history: history{nodes: 2, keys: ticket, events: []event{
				call(0, 0), {at: 3 * time.Minute, kind: maintenanceEvent}, stop(3*time.Minute+time.Second, time.Second), call(4*time.Minute, 1),
			}},
			want: []string{"executions 1", "unknown owner_unreachable "},
		},
		"the outcome of a ticket is read from the seal": {
			history: history{nodes: 2, keys: ticket, events: []event{call(0, 0), stop(time.Second, time.Second), call(2*time.Second, 1)}},
			want:    []string{"executions 1", "ran  sealed"},
		},
		"an unused ticket is void after the seal": {
			history: history{nodes: 2, keys: ticket, events: []event{stop(0, time.Second), call(2*time.Second, 1)}},
			want:    []string{"executions 0", "not_run draining "},
		},
		"a ticket runs while the store is unavailable": {
			history: history{nodes: 2, keys: ticket, events: []event{storeDown(0, time.Hour), call(time.Second, 1)}},
			want:    []string{"executions 1", "ran  ticket_forwarded"},
		},
		"a caller key is unknown while the store is unavailable": {
			history:  history{nodes: 1, keys: callerKey, events: []event{call(0, 0), storeDown(time.Second, time.Hour), call(20*time.Second, 0)}},
			want:     []string{"executions 1", "ran  claim"},
			unwanted: []string{"not_run store_unavailable "},
		},
		"a paused owner sends nothing after the deadline": {
			history: history{nodes: 1, keys: ticket, events: []event{{kind: cancelledCallEvent}}, faults: []injection{
				{step: action.StepDial, nth: 1, kind: pauseAfter, duration: 25 * time.Second},
			}},
			want: []string{"executions 0", "not_run deadline_exceeded "},
		},
	}
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			tally := newTally()
			require.Empty(t, s.history.run(t, tally))
			for _, w := range s.want {
				require.NotZero(t, tally.counts[w], "%q is missing in %v", w, tally.counts)
			}
			for _, w := range s.unwanted {
				require.Zero(t, tally.counts[w], "%q is in %v", w, tally.counts)
			}
		})
	}
}

// countOutcome returns how many responses had the outcome.
func (c *tally) countOutcome(o failure.Outcome) (n int) {
	for name, count := range c.counts {
		var outcome string
		if _, err := fmt.Sscan(name, &outcome); err == nil && outcome == string(o) {
			n += count
		}
	}
	return n
}

// TestReapClaims: a claim in doubt is kept far longer than one with an outcome.
// The latter is removed when its lease expires or, without a lease, by
// ReapClaims.
func TestReapClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(2, []injection{{node: 0, step: action.StepCommit, nth: 1, kind: killBefore}, {node: 1, step: grantStep, nth: 1, kind: requestLost}})
		defer c.end()
		call := func(n int, key string) {
			c.request(c.nodes[n], time.Second, runCall(action.Call{Customer: customer, Key: key, RequestID: key}))
			time.Sleep(time.Second)
		}
		call(0, "in-doubt")
		call(1, "no-lease")
		call(1, "leased")
		reap := func() (left, removed, inDoubt int) {
			for i := range action.ClaimPartitionCount {
				r, err := c.nodes[1].m.ReapClaims(t.Context(), action.ClaimPartitionPrefix(i), 8)
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
		time.Sleep(24*time.Hour + 30*time.Minute)
		check(3, 0, 1)
		time.Sleep(time.Hour)
		check(1, 1, 1)
		time.Sleep(action.InDoubtRetention)
		check(0, 1, 1)
	})
}
