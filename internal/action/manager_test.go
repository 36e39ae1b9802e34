package action_test

import (
	"context"
	"encoding/base64"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/failure"
)

// countingDispatcher runs every order and counts them by action.
type countingDispatcher struct {
	mu   sync.Mutex
	runs map[string]int
}

func (d *countingDispatcher) Dispatch(_ context.Context, o action.DispatchRequest) (action.EndpointResponse, error) {
	if err := o.Commit(); err != nil {
		return action.EndpointResponse{}, &action.NotSentError{Cause: err}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runs == nil {
		d.runs = make(map[string]int)
	}
	d.runs[o.ActionID]++
	return action.EndpointResponse{Status: 200, Body: []byte(`{"ok":true}`)}, nil
}

func TestTicketRunsOnce(t *testing.T) {
	d := &countingDispatcher{}
	m := action.New(action.Config{Incarnation: "a", Dispatcher: d})
	defer func() { require.NoError(t, m.Stop()) }()
	tickets, err := m.IssueTickets("c", 4)
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
	require.Equal(t, failure.CodeIdempotencyKeyReused, failure.AsRefusal(err).Code)
	call.Customer = "d"
	_, err = m.Do(t.Context(), call)
	require.Equal(t, failure.CodeBadTicket, failure.AsRefusal(err).Code)
}

// dispatchFunc is a dispatcher made of a function.
type dispatchFunc func(o action.DispatchRequest) (action.EndpointResponse, error)

func (f dispatchFunc) Dispatch(_ context.Context, o action.DispatchRequest) (action.EndpointResponse, error) {
	return f(o)
}

// TestDispatcherIsNotTrusted: an order is committed once, and a dispatcher that
// says that nothing was sent after a commit isn't believed.
func TestDispatcherIsNotTrusted(t *testing.T) {
	m := action.New(action.Config{Incarnation: "a", Dispatcher: dispatchFunc(func(o action.DispatchRequest) (action.EndpointResponse, error) {
		assert.NoError(t, o.Commit())
		var refused *action.CommitError
		assert.ErrorAs(t, o.Commit(), &refused)
		return action.EndpointResponse{}, &action.NotSentError{Cause: refused}
	})})
	defer func() { require.NoError(t, m.Stop()) }()
	tickets, err := m.IssueTickets("c", 1)
	require.NoError(t, err)
	_, err = m.Do(t.Context(), action.Call{Customer: "c", Key: tickets.Key(tickets.First)})
	require.Equal(t, failure.Unknown, failure.AsRefusal(err).Outcome)
}

// TestRefusalsOfTickets: a bad ticket gets a typed refusal and runs nothing.
func TestRefusalsOfTickets(t *testing.T) {
	d := &countingDispatcher{}
	m := action.New(action.Config{Incarnation: "a", Dispatcher: d})
	defer func() { require.NoError(t, m.Stop()) }()
	tickets, err := m.IssueTickets("c", 2)
	require.NoError(t, err)
	good := strings.Split(tickets.Key(tickets.First), ".")
	forged := func(payload string) string {
		return strings.Join([]string{good[0], base64.RawURLEncoding.EncodeToString([]byte(payload)), good[2], good[3]}, ".")
	}
	cases := map[string]struct {
		key     string
		code    failure.Code
		outcome failure.Outcome
	}{
		"out of range":      {tickets.Key(3), failure.CodeBadTicket, failure.NotRun},
		"no number":         {tickets.Token, failure.CodeBadTicket, failure.NotRun},
		"negative number":   {tickets.Token + ".-1", failure.CodeBadTicket, failure.NotRun},
		"padded number":     {tickets.Token + ".01", failure.CodeBadTicket, failure.NotRun},
		"not base64":        {"t1.!.!.1", failure.CodeBadTicket, failure.NotRun},
		"not a payload":     {forged("[]"), failure.CodeBadTicket, failure.NotRun},
		"wider range":       {forged(`{"o":"a","c":"c","f":1,"l":9,"e":900000}`), failure.CodeBadTicket, failure.NotRun},
		"another signature": {strings.Join([]string{good[0], good[1], "AAAA", good[3]}, "."), failure.CodeBadTicket, failure.NotRun},
		"owner not known":   {forged(`{"o":"b","c":"c","f":1,"l":9,"e":900000}`), failure.CodeOwnerUnreachable, failure.Unknown},
		"empty key":         {"", failure.CodeBadRequest, failure.NotRun},
		"long key":          {strings.Repeat("x", 256), failure.CodeBadRequest, failure.NotRun},
		"line break in key": {"a\nb", failure.CodeBadRequest, failure.NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := m.Do(t.Context(), action.Call{Customer: "c", Key: c.key})
			r := failure.AsRefusal(err)
			require.Equal(t, c.code, r.Code)
			require.Equal(t, c.outcome, r.Outcome)
			_, err = m.Outcome(t.Context(), action.Query{Customer: "c", Key: c.key})
			require.Equal(t, c.code, failure.AsRefusal(err).Code)
		})
	}
	require.Empty(t, d.runs)
}

// TestMemoryIsBounded: when no record is free, a ticket is refused for good;
// when even that can't be noted, the outcome told is unknown. Memory comes back.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &countingDispatcher{}
		limits := action.Limits{MaxRecords: 1, MaxVoids: 1, MaxKeptBytes: 4}
		m := action.New(action.Config{Incarnation: "a", Dispatcher: d, Limits: limits})
		defer func() { require.NoError(t, m.Stop()) }()
		tickets, err := m.IssueTickets("c", 4)
		require.NoError(t, err)
		do := func(n uint64) (action.Response, error) {
			return m.Do(t.Context(), action.Call{Customer: "c", Key: tickets.Key(n)})
		}
		first, err := do(1)
		require.NoError(t, err)
		require.NotEmpty(t, first.Body)
		again, err := do(1)
		require.NoError(t, err)
		require.True(t, again.BodyDropped)
		for range 2 {
			_, err = do(2)
			r := failure.AsRefusal(err)
			require.Equal(t, failure.NotRun, r.Outcome)
			require.True(t, action.IsTicket(r.Ticket))
		}
		_, err = do(3)
		require.Equal(t, failure.Unknown, failure.AsRefusal(err).Outcome)

		time.Sleep(time.Hour)
		m.RemoveExpired()
		tickets, err = m.IssueTickets("c", 1)
		require.NoError(t, err)
		_, err = do(tickets.First)
		require.NoError(t, err)
		require.Len(t, d.runs, 2)
	})
}

// TestSealIsBounded: a seal over its limit forgets the oldest tickets and says
// so; a seal survives its encoding.
func TestSealIsBounded(t *testing.T) {
	for _, limit := range []int{1 << 20, 400} {
		d := &countingDispatcher{}
		taken := make(chan action.Seal, 1)
		m := action.New(action.Config{Incarnation: "a", Dispatcher: d, Limits: action.Limits{MaxSealBytes: limit}, SealSender: takeSeal(taken)})
		tickets, err := m.IssueTickets("c", 256)
		require.NoError(t, err)
		for n := tickets.First; n <= tickets.Last; n += 2 {
			_, err := m.Do(t.Context(), action.Call{Customer: "c", Key: tickets.Key(n)})
			require.NoError(t, err)
		}
		require.True(t, m.Seal(t.Context(), time.Second).SentToPeer)
		require.NoError(t, m.Stop())
		raw := (<-taken).Encode()
		require.LessOrEqual(t, len(raw), limit)
		seal, err := action.DecodeSeal(raw)
		require.NoError(t, err)

		other := action.New(action.Config{Incarnation: "b"})
		other.ImportSeal(seal)
		for n := tickets.First; n <= tickets.Last; n++ {
			rec, err := other.Outcome(t.Context(), action.Query{Customer: "c", Key: tickets.Key(n)})
			require.NoError(t, err)
			want := []failure.Outcome{failure.NotRun, failure.Ran}[n%2]
			if n < seal.Floor {
				want = failure.Unknown
			}
			require.Equal(t, want, rec.Outcome, "ticket %d, floor %d", n, seal.Floor)
		}
		require.Equal(t, limit < 1<<20, seal.Floor > 0)
		require.NoError(t, other.Stop())
	}
}

// takeSeal is a handover that succeeds.
type takeSeal chan action.Seal

func (c takeSeal) Send(_ context.Context, s action.Seal) error {
	c <- s
	return nil
}

// TestCustomersDoNotShareKeys: one own key of two customers is two actions.
func TestCustomersDoNotShareKeys(t *testing.T) {
	d := &countingDispatcher{}
	m := action.New(action.Config{Incarnation: "a", Dispatcher: d, Store: newCountedStore()})
	defer func() { require.NoError(t, m.Stop()) }()
	for _, c := range []string{"luftvard", "tuul"} {
		a, err := m.Do(t.Context(), action.Call{Customer: c, Key: "order-1", Body: []byte(c)})
		require.NoError(t, err)
		require.False(t, a.Replayed)
	}
	require.Len(t, d.runs, 2)
}

// FuzzKey: no key that wasn't issued runs anything as a ticket.
func FuzzKey(f *testing.F) {
	d := &countingDispatcher{}
	m := action.New(action.Config{Incarnation: "a", Dispatcher: d})
	tickets, err := m.IssueTickets("c", 2)
	require.NoError(f, err)
	f.Add(tickets.Token)
	f.Add(tickets.Key(3))
	f.Add("t1.e30.AAAA.0")
	f.Fuzz(func(t *testing.T, key string) {
		if !action.IsTicket(key) {
			return
		}
		_, err := m.Do(t.Context(), action.Call{Customer: "d", Key: key})
		require.Error(t, err)
		require.Empty(t, d.runs)
	})
}

// FuzzDecodeSeal: a seal from a peer or the store can be anything.
func FuzzDecodeSeal(f *testing.F) {
	f.Add(action.Seal{Incarnation: "a", Ranges: []action.SealedRange{{First: 1, Count: 2, Outcome: failure.Ran}}}.Encode())
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := action.DecodeSeal(raw); err == nil {
			_, err = action.DecodeSeal(s.Encode())
			require.NoError(t, err)
		}
	})
}
