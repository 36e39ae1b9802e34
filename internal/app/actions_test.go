package app

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/failure"
)

// TestStoppingGatewaysDoNotDenyWhatRan checks that a retry of an action that ran
// never gets the outcome not_run, even if the owner of its ticket and the other
// gateway are both draining.
func TestStoppingGatewaysDoNotDenyWhatRan(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		owner, other := d.gateway("gw1-svealand"), d.gateway("gw2-svealand")
		ownerClient, peerClient := d.client(owner, "demo-key-svealand"), d.client(other, "demo-key-svealand")
		tickets := d.entries(ownerClient).Tickets
		ran, unused := tickets.Key(tickets.First), tickets.Key(tickets.Last)
		for _, key := range []string{ran, "order-19"} {
			require.Equal(t, http.StatusOK, d.book(ownerClient, key).Status)
		}
		for _, gw := range []*testGateway{owner, other} {
			gw.app.board.Lifecycle.Set(blackboard.Draining)
			gw.app.actions.Drain()
		}
		for _, key := range []string{ran, "order-19"} {
			a := d.book(ownerClient, key)
			require.Equal(t, http.StatusOK, a.Status, string(a.Body))
			a = d.book(peerClient, key)
			require.NotContains(t, string(a.Body), `"outcome":"not_run"`)
		}
		require.Equal(t, failure.NotRun, refusalOf(t, d.book(ownerClient, unused)).Outcome)
		unauthorized := d.book(d.client(other, "no-such-key"), ran)
		require.Equal(t, failure.Unknown, refusalOf(t, unauthorized).Outcome)
		require.Equal(t, 2, d.executions())
	})
}
