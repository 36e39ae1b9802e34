package action_test

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/failure"
)

// countingDispatcher runs every order and counts them by action.
type countingDispatcher struct {
	mu   sync.Mutex
	runs map[string]int
}

func (d *countingDispatcher) Dispatch(_ context.Context, o action.Order) (action.Reply, error) {
	if err := o.Commit(); err != nil {
		return action.Reply{}, &action.NotSentError{Cause: err}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runs == nil {
		d.runs = make(map[string]int)
	}
	d.runs[o.ActionID]++
	return action.Reply{Status: 200, Body: []byte(`{"ok":true}`)}, nil
}

func TestTicketRunsOnce(t *testing.T) {
	d := &countingDispatcher{}
	m := action.New(action.Config{Incarnation: "a", Dispatcher: d})
	defer func() { require.NoError(t, m.Stop()) }()
	tickets, err := m.Issue("c", 4)
	require.NoError(t, err)
	call := action.Call{Customer: "c", Key: tickets.Key(tickets.First), Service: "booking", Name: "confirm", Body: []byte("x")}

	first, err := m.Do(t.Context(), call)
	require.NoError(t, err)
	require.Equal(t, failure.Ran, first.Outcome)
	require.False(t, first.Replayed)
	second, err := m.Do(t.Context(), call)
	require.NoError(t, err)
	require.True(t, second.Replayed)
	require.Equal(t, first.Body, second.Body)
	require.Len(t, d.runs, 1)

	call.Body = []byte("y")
	_, err = m.Do(t.Context(), call)
	require.Equal(t, failure.CodeKeyReused, failure.AsRefusal(err).Code)
	call.Customer = "d"
	_, err = m.Do(t.Context(), call)
	require.Equal(t, failure.CodeBadTicket, failure.AsRefusal(err).Code)
}
