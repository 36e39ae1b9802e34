package app

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/gateway"
	"github.com/hickorystage/hickorystage/internal/standin/caller"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// inWorld runs a test over the standard deployment in virtual time.
func inWorld(t *testing.T, test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := standard(t)
		defer w.close()
		test(t, w)
	})
}

// refusalOf decodes the refusal in an answer.
func refusalOf(t *testing.T, a *caller.Answer) gateway.ErrorDetail {
	t.Helper()
	var body gateway.ErrorBody
	require.NoError(t, json.Unmarshal(a.Body, &body), string(a.Body))
	return body.Error
}

func (w *world) chat(c *caller.Client, text string) *caller.Answer {
	w.t.Helper()
	a, err := c.Do(context.Background(), http.MethodPost, "/v1/chat/completions", nil, chatBody(text))
	require.NoError(w.t, err)
	return a
}

// book runs the collect action with an idempotency key.
func (w *world) book(c *caller.Client, key string) *caller.Answer {
	w.t.Helper()
	header := map[string]string{gateway.HeaderIdempotencyKey: key}
	a, err := c.Do(context.Background(), http.MethodPost, "/v1/actions/booking/collect", header, map[string]string{"reference": key})
	require.NoError(w.t, err)
	return a
}

func (w *world) executions() int {
	total := 0
	for _, s := range w.services {
		total += s.Executions().Total
	}
	return total
}

// removeEngine makes a region lose its engine.
func (w *world) removeEngine(region, address string) {
	w.directory.DeleteInstance("engine-" + region)
	w.kill(address)
}

func TestNoLoopWhenNoRegionCanServe(t *testing.T) {
	received := telemetry.NewCounter("forwards_received", "", "")
	inWorld(t, func(t *testing.T, w *world) {
		// A region that has just been heard of takes its traffic in steps.
		time.Sleep(30 * time.Second)
		for i := range allRegions {
			w.kill([]string{"10.1.0.1:80", "10.1.0.2:80", "10.1.0.3:80"}[i])
		}
		before := received.Value()
		a := w.chat(w.client(w.node("gw1-svealand"), "demo-key-svealand"), "nowhere")
		require.GreaterOrEqual(t, a.Status, 500)
		require.Equal(t, failure.NotRun, refusalOf(t, a).Outcome)
		require.Equal(t, int64(1), received.Value()-before, "a request moves to another region once, and no more")
	})
}

func TestActionsRunOnceHoweverTheyAreRetried(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		one := w.client(w.node("gw1-svealand"), "demo-key-svealand")
		two := w.client(w.node("gw2-svealand"), "demo-key-svealand")
		far := w.client(w.node("gw3-norrland"), "demo-key-svealand")
		tickets := w.entries(one).Tickets
		key := tickets.Key(tickets.First)
		done := make(chan *caller.Answer, 3)
		for _, c := range []*caller.Client{one, two, far} {
			go func() { done <- w.book(c, key) }()
		}
		for range 3 {
			a := <-done
			require.Equal(t, http.StatusOK, a.Status, string(a.Body))
			require.Contains(t, string(a.Body), `"outcome":"ran"`)
		}
		require.Equal(t, 1, w.executions())

		a := w.book(one, "order-17")
		require.Equal(t, http.StatusOK, a.Status, string(a.Body))
		a = w.book(far, "order-17")
		require.Equal(t, 2, w.executions(), string(a.Body))
	})
}

func TestActionsWithoutTheStore(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		c := w.client(w.node("gw1-svealand"), "demo-key-svealand")
		w.kill(storeAddress)
		a := w.book(c, "order-18")
		refusal := refusalOf(t, a)
		require.Equal(t, failure.CodeStoreUnavailable, refusal.Type)
		require.Equal(t, failure.Unknown, refusal.Outcome, "an earlier request under the key may have run")
		require.NotEmpty(t, refusal.Ticket)
		require.Zero(t, w.executions())
		a = w.book(c, refusal.Ticket)
		require.Equal(t, http.StatusOK, a.Status, string(a.Body))
		require.Equal(t, 1, w.executions())
	})
}

func TestKilledOwnerAnswersUnknownNeverNotRun(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		owner := w.node("gw1-svealand")
		one := w.client(owner, "demo-key-svealand")
		two := w.client(w.node("gw2-svealand"), "demo-key-svealand")
		tickets := w.entries(one).Tickets
		key := tickets.Key(tickets.First)
		require.Equal(t, http.StatusOK, w.book(one, key).Status)
		w.crash(owner)
		a := w.book(two, key)
		require.Equal(t, failure.Unknown, refusalOf(t, a).Outcome, string(a.Body))
		require.Equal(t, 1, w.executions())
	})
}

func TestStoppedOwnersOutcomesAreKnownAfterwards(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		owner := w.node("gw1-svealand")
		one := w.client(owner, "demo-key-svealand")
		two := w.client(w.node("gw2-svealand"), "demo-key-svealand")
		tickets := w.entries(one).Tickets
		ran, unused := tickets.Key(tickets.First), tickets.Key(tickets.Last)
		require.Equal(t, http.StatusOK, w.book(one, ran).Status)
		require.NoError(t, w.stop(owner))
		a := w.book(two, ran)
		require.Contains(t, string(a.Body), `"outcome":"ran"`)
		a = w.book(two, unused)
		require.Equal(t, failure.NotRun, refusalOf(t, a).Outcome, string(a.Body))
		require.Equal(t, 1, w.executions())
	})
}
