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

// runInDeployment runs a test against the standard deployment in virtual time.
func runInDeployment(t *testing.T, test func(t *testing.T, d *testDeployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := startStandardDeployment(t)
		defer d.closeAndCheckMemory()
		test(t, d)
	})
}

// refusalOf decodes the refusal in a response.
func refusalOf(t *testing.T, a *caller.Response) gateway.ErrorDetail {
	t.Helper()
	var body gateway.ErrorBody
	require.NoError(t, json.Unmarshal(a.Body, &body), string(a.Body))
	return body.Error
}

func (d *testDeployment) chat(c *caller.Client, text string) *caller.Response {
	d.t.Helper()
	a, err := c.Do(context.Background(), http.MethodPost, "/v1/chat/completions", nil, chatBody(text))
	require.NoError(d.t, err)
	return a
}

// book runs the collect action with an idempotency key.
func (d *testDeployment) book(c *caller.Client, key string) *caller.Response {
	d.t.Helper()
	header := map[string]string{gateway.HeaderIdempotencyKey: key}
	a, err := c.Do(context.Background(), http.MethodPost, "/v1/actions/booking/collect", header, map[string]string{"reference": key})
	require.NoError(d.t, err)
	return a
}

func (d *testDeployment) executions() int {
	total := 0
	for _, s := range d.services {
		total += s.Executions().Total
	}
	return total
}

// removeEngine removes the engine of a region from the directory and stops it.
func (d *testDeployment) removeEngine(region, address string) {
	d.directory.DeleteInstance("engine-" + region)
	d.kill(address)
}

func TestNoLoopWhenNoRegionCanServe(t *testing.T) {
	received := telemetry.NewCounter("forwards_received", "", "")
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		// The traffic to a newly discovered region is increased in steps.
		time.Sleep(30 * time.Second)
		for i := range allRegions {
			d.kill([]string{"10.1.0.1:80", "10.1.0.2:80", "10.1.0.3:80"}[i])
		}
		before := received.Value()
		a := d.chat(d.client(d.gateway("gw1-svealand"), "demo-key-svealand"), "nowhere")
		require.GreaterOrEqual(t, a.Status, 500)
		require.Equal(t, failure.NotRun, refusalOf(t, a).Outcome)
		require.Equal(t, int64(1), received.Value()-before, "a request is forwarded to another region only once")
	})
}

func TestActionsRunOnceHoweverTheyAreRetried(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		ownerClient := d.client(d.gateway("gw1-svealand"), "demo-key-svealand")
		peerClient := d.client(d.gateway("gw2-svealand"), "demo-key-svealand")
		remoteClient := d.client(d.gateway("gw3-norrland"), "demo-key-svealand")
		tickets := d.entries(ownerClient).Tickets
		key := tickets.Key(tickets.First)
		done := make(chan *caller.Response, 3)
		for _, c := range []*caller.Client{ownerClient, peerClient, remoteClient} {
			go func() { done <- d.book(c, key) }()
		}
		for range 3 {
			a := <-done
			require.Equal(t, http.StatusOK, a.Status, string(a.Body))
			require.Contains(t, string(a.Body), `"outcome":"ran"`)
		}
		require.Equal(t, 1, d.executions())

		a := d.book(ownerClient, "order-17")
		require.Equal(t, http.StatusOK, a.Status, string(a.Body))
		a = d.book(remoteClient, "order-17")
		require.Equal(t, 2, d.executions(), string(a.Body))
	})
}

func TestActionsWithoutTheStore(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		c := d.client(d.gateway("gw1-svealand"), "demo-key-svealand")
		d.kill(storeAddress)
		a := d.book(c, "order-18")
		refusal := refusalOf(t, a)
		require.Equal(t, failure.CodeStoreUnavailable, refusal.Type)
		require.Equal(t, failure.Unknown, refusal.Outcome, "an earlier request under the key may have run")
		require.NotEmpty(t, refusal.Ticket)
		require.Zero(t, d.executions())
		a = d.book(c, refusal.Ticket)
		require.Equal(t, http.StatusOK, a.Status, string(a.Body))
		require.Equal(t, 1, d.executions())
	})
}

func TestKilledOwnerAnswersUnknownNeverNotRun(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		owner := d.gateway("gw1-svealand")
		ownerClient := d.client(owner, "demo-key-svealand")
		peerClient := d.client(d.gateway("gw2-svealand"), "demo-key-svealand")
		tickets := d.entries(ownerClient).Tickets
		key := tickets.Key(tickets.First)
		require.Equal(t, http.StatusOK, d.book(ownerClient, key).Status)
		d.crash(owner)
		a := d.book(peerClient, key)
		require.Equal(t, failure.Unknown, refusalOf(t, a).Outcome, string(a.Body))
		require.Equal(t, 1, d.executions())
	})
}

func TestStoppedOwnersOutcomesAreKnownAfterwards(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		owner := d.gateway("gw1-svealand")
		ownerClient := d.client(owner, "demo-key-svealand")
		peerClient := d.client(d.gateway("gw2-svealand"), "demo-key-svealand")
		tickets := d.entries(ownerClient).Tickets
		ran, unused := tickets.Key(tickets.First), tickets.Key(tickets.Last)
		require.Equal(t, http.StatusOK, d.book(ownerClient, ran).Status)
		require.NoError(t, d.stop(owner))
		a := d.book(peerClient, ran)
		require.Contains(t, string(a.Body), `"outcome":"ran"`)
		a = d.book(peerClient, unused)
		require.Equal(t, failure.NotRun, refusalOf(t, a).Outcome, string(a.Body))
		require.Equal(t, 1, d.executions())
	})
}
