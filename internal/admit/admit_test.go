package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/intent"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestQueueOrdersByPriorityAndShedsLowest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := admit.New("g1", admit.Options{MaxQueueLength: 5, RetryBurst: 1})
		waiting := make(map[string]int)
		for i, p := range rapid.SliceOfN(rapid.IntRange(0, 9), 1, 20).Draw(t, "priorities") {
			request := admit.Request{ID: fmt.Sprint(i), Customer: "c", Group: "g", Priority: p}
			v := c.Enqueue(request, 0, start.Add(time.Duration(i)*time.Millisecond))
			if v.Kind == admit.Refuse {
				require.Equal(t, failure.CodeOverloaded, v.Code)
				require.Equal(t, failure.NotRun, v.Refusal().Outcome)
				for _, other := range waiting {
					require.GreaterOrEqual(t, other, p, "a refused request has the lowest priority")
				}
				continue
			}
			if v.Shed != nil {
				require.Less(t, v.Shed.Priority, p)
				delete(waiting, v.Shed.ID)
			}
			waiting[request.ID] = p
		}
		last := 9
		for {
			request, ok, _ := c.Dequeue("g", start.Add(time.Second))
			if !ok {
				break
			}
			require.LessOrEqual(t, request.Priority, last)
			last = request.Priority
			delete(waiting, request.ID)
		}
		require.Empty(t, waiting)
	})
}

func TestNewRequestQueuesBehindEqualOrHigherPriority(t *testing.T) {
	c := admit.New("g1", admit.DefaultOptions())
	c.Enqueue(admit.Request{ID: "a", Group: "g", Priority: 5}, 0, start)
	require.Equal(t, admit.Queue, c.Admit(admit.Request{ID: "b", Group: "g", Priority: 5}, start).Kind)
	require.Equal(t, admit.Queue, c.Admit(admit.Request{ID: "c", Group: "g", Priority: 1}, start).Kind)
	require.Equal(t, admit.Dispatch, c.Admit(admit.Request{ID: "d", Group: "g", Priority: 6}, start).Kind)
}

func TestRequestThatCannotMeetDeadlineIsRefusedEarly(t *testing.T) {
	c := admit.New("g1", admit.DefaultOptions())
	for i := range 40 {
		c.Enqueue(admit.Request{ID: fmt.Sprint(i), Group: "g", Priority: 5}, 0, start)
	}
	now := start
	for range 10 {
		now = now.Add(500 * time.Millisecond)
		_, ok, _ := c.Dequeue("g", now)
		require.True(t, ok)
	}
	v := c.Enqueue(admit.Request{ID: "late", Group: "g", Priority: 5, FirstTokenDeadline: now.Add(5 * time.Second)}, 0, now)
	require.Equal(t, admit.Refuse, v.Kind, "30 requests are queued and 2 leave per second")
	require.Equal(t, failure.CodeDeadlineExceeded, v.Code)
	v = c.Enqueue(admit.Request{ID: "urgent", Group: "g", Priority: 9, FirstTokenDeadline: now.Add(5 * time.Second)}, 0, now)
	require.Equal(t, admit.Queue, v.Kind, "no request is ahead of it")
	_, _, expired := c.Dequeue("g", now.Add(6*time.Second))
	require.Len(t, expired, 1)
}

func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0.01, 1).Draw(t, "ratio")
		b := admit.NewRetryBudget(5)
		b.SetRatio(ratio)
		successes, retries := 0, 0
		for _, ok := range rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(t, "calls") {
			if ok {
				b.RecordSuccess()
				successes++
			} else if b.TrySpend() {
				retries++
			}
			require.LessOrEqual(t, float64(retries), 5+ratio*float64(successes)+1e-6)
		}
	})
}

// admittedRateOverLimit sends 20 s of a customer's requests at twice its limit to n
// gateways and returns the rate admitted from second 5 on, divided by the limit.
// With exchangeUsage the gateways report their usage to each other. gateway
// chooses the gateway of request i from the customer's rendezvous order.
func admittedRateOverLimit(n int, exchangeUsage bool, gateway func(i int, order []string) string) float64 {
	const limit = 100
	in := &intent.Intent{Customers: map[string]intent.Customer{"c": {Limits: intent.Limits{RequestsPerSecond: limit}}}}
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("g%d", i))
	}
	controllers := make(map[string]*admit.Controller)
	for _, id := range ids {
		controllers[id] = admit.New(id, admit.DefaultOptions())
		controllers[id].Configure(in)
		controllers[id].SetGatewayIDs(ids)
	}
	order := admit.RankGateways("c", ids)
	admitted := 0
	for i := range 20 * 2 * limit {
		now := start.Add(time.Duration(i) * time.Second / (2 * limit))
		request := admit.Request{ID: fmt.Sprint(i), Customer: "c", Group: "g"}
		if controllers[gateway(i, order)].Admit(request, now).Kind == admit.Dispatch && i >= 5*2*limit {
			admitted++
		}
		if exchangeUsage && i%(limit/2) == 0 {
			for _, from := range ids {
				for _, to := range ids {
					controllers[to].ApplyUsage(from, controllers[from].TopUsage(16, now), now)
				}
			}
		}
	}
	return float64(admitted) / (15 * limit)
}

func TestLimitsHoldAcrossGateways(t *testing.T) {
	first := func(_ int, order []string) string { return order[0] }
	twoGateways := func(i int, order []string) string {
		if i%5 == 0 {
			return order[1]
		}
		return order[0]
	}
	all := func(i int, order []string) string { return order[i%len(order)] }
	for _, n := range []int{2, 8, 30} {
		for name, f := range map[string]func(int, []string) string{"first": first, "two": twoGateways, "all": all} {
			require.InDelta(t, 1, admittedRateOverLimit(n, true, f), 0.05, "%s of %d", name, n)
		}
	}
	require.InDelta(t, 0.97, admittedRateOverLimit(8, false, first), 0.05, "a single gateway in use needs no exchange")
}

func TestReleaseFreesConcurrencySlot(t *testing.T) {
	c := admit.New("g1", admit.DefaultOptions())
	c.Configure(&intent.Intent{Customers: map[string]intent.Customer{"c": {Limits: intent.Limits{MaxConcurrent: 2}}}})
	request := admit.Request{ID: "a", Customer: "c", Group: "g"}
	require.Equal(t, admit.Dispatch, c.Admit(request, start).Kind)
	require.Equal(t, admit.Dispatch, c.Admit(request, start).Kind)
	require.Equal(t, failure.CodeLimitExceeded, c.Admit(request, start).Code)
	c.Release(request, 0)
	require.Equal(t, admit.Dispatch, c.Admit(request, start).Kind)
}

// TestRefusedRequestHoldsNothing guards against a customer that is locked out because
// requests that a full queue refused, or that were withdrawn from it, still count
// towards its limits.
func TestRefusedRequestHoldsNothing(t *testing.T) {
	limits := intent.Limits{MaxConcurrent: 3, RequestsPerSecond: 10, TokensPerSecond: 100}
	c := admit.New("g1", admit.Options{MaxQueueLength: 1, RetryBurst: 1})
	c.Configure(&intent.Intent{Customers: map[string]intent.Customer{"c": {Limits: limits}, "other": {}}})
	require.Equal(t, admit.Queue, c.Enqueue(admit.Request{ID: "head", Customer: "other", Group: "g", Priority: 9}, 0, start).Kind)
	request := admit.Request{ID: "a", Customer: "c", Group: "g", Priority: 5, EstimatedTokens: 30}
	for range 20 {
		verdict := c.Admit(request, start)
		require.Equal(t, admit.Refuse, verdict.Kind)
		require.Equal(t, failure.CodeOverloaded, verdict.Code, "refused by the queue, not by the limits")
	}
	require.True(t, c.RemoveQueued("g", "head"))
	for range 20 {
		require.Equal(t, admit.Dispatch, c.Admit(request, start).Kind)
		c.Withdraw(request)
	}
	for range 3 {
		require.Equal(t, admit.Dispatch, c.Admit(request, start).Kind)
	}
	require.Equal(t, failure.CodeLimitExceeded, c.Admit(request, start).Code)
}
