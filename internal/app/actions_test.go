package app

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/failure"
)

// TestStoppingGatewaysDoNotDenyWhatRan: a retry that meets stopping gateways
// is never told that an action that ran has not.
func TestStoppingGatewaysDoNotDenyWhatRan(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		owner, other := w.node("gw1-svealand"), w.node("gw2-svealand")
		one, two := w.client(owner, "demo-key-svealand"), w.client(other, "demo-key-svealand")
		tickets := w.entries(one).Tickets
		ran, unused := tickets.Key(tickets.First), tickets.Key(tickets.Last)
		for _, key := range []string{ran, "order-19"} {
			require.Equal(t, http.StatusOK, w.book(one, key).Status)
		}
		for _, n := range []*node{owner, other} {
			n.app.board.Lifecycle.Set(blackboard.Draining)
			n.app.actions.Drain()
		}
		for _, key := range []string{ran, "order-19"} {
			a := w.book(one, key)
			require.Equal(t, http.StatusOK, a.Status, string(a.Body))
			a = w.book(two, key)
			require.NotContains(t, string(a.Body), `"outcome":"not_run"`)
		}
		require.Equal(t, failure.NotRun, refusalOf(t, w.book(one, unused)).Outcome)
		unauthorized := w.book(w.client(other, "no-such-key"), ran)
		require.Equal(t, failure.Unknown, refusalOf(t, unauthorized).Outcome)
		require.Equal(t, 2, w.executions())
	})
}
