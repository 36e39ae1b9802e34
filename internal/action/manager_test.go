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

// countingDispatcher commits every request and counts them by action id.
type countingDispatcher struct {
	mu   sync.Mutex
	runs map[string]int
}

func (d *countingDispatcher) Dispatch(_ context.Context, r action.DispatchRequest) (action.EndpointResponse, error) {
	if err := r.Commit(); err != nil {
		return action.EndpointResponse{}, &action.NotSentError{Cause: err}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.runs == nil {
		d.runs = make(map[string]int)
	}
	d.runs[r.ActionID]++
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

// dispatchFunc is a function as an action.Dispatcher.
type dispatchFunc func(r action.DispatchRequest) (action.EndpointResponse, error)

func (f dispatchFunc) Dispatch(_ context.Context, r action.DispatchRequest) (action.EndpointResponse, error) {
	return f(r)
}

// TestDispatcherIsNotTrusted: a request can be committed only once, and
// NotSentError from a dispatcher after a commit doesn't count as not run.
func TestDispatcherIsNotTrusted(t *testing.T) {
	m := action.New(action.Config{Incarnation: "a", Dispatcher: dispatchFunc(func(r action.DispatchRequest) (action.EndpointResponse, error) {
		assert.NoError(t, r.Commit())
		var refused *action.CommitError
		assert.ErrorAs(t, r.Commit(), &refused)
		return action.EndpointResponse{}, &action.NotSentError{Cause: refused}
	})})
	defer func() { require.NoError(t, m.Stop()) }()
	tickets, err := m.IssueTickets("c", 1)
	require.NoError(t, err)
	_, err = m.Do(t.Context(), action.Call{Customer: "c", Key: tickets.Key(tickets.First)})
	require.Equal(t, failure.Unknown, failure.AsRefusal(err).Outcome)
}

// TestInvalidKeysAreRefused: an invalid ticket or caller key gets a typed
// refusal and runs nothing.
func TestInvalidKeysAreRefused(t *testing.T) {
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
		"unknown owner":     {forged(`{"o":"b","c":"c","f":1,"l":9,"e":900000}`), failure.CodeOwnerUnreachable, failure.Unknown},
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

// TestMemoryIsBounded: when MaxRecords is reached, a ticket is refused for
// good. When MaxVoidRecords is reached as well, the outcome of a refused ticket
// is unknown. Expired records make room for new ones.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &countingDispatcher{}
		limits := action.Limits{MaxRecords: 1, MaxVoidRecords: 1, MaxTotalReplayBytes: 4}
		m := action.New(action.Config{Incarnation: "a", Dispatcher: d, Limits: limits})
		defer func() { require.NoError(t, m.Stop()) }()
		tickets, err := m.IssueTickets("c", 4)
		require.NoError(t, err)
		runTicket := func(n uint64) (action.Response, error) {
			return m.Do(t.Context(), action.Call{Customer: "c", Key: tickets.Key(n)})
		}
		first, err := runTicket(1)
		require.NoError(t, err)
		require.NotEmpty(t, first.Body)
		again, err := runTicket(1)
		require.NoError(t, err)
		require.True(t, again.BodyDropped)
		for range 2 {
			_, err = runTicket(2)
			r := failure.AsRefusal(err)
			require.Equal(t, failure.NotRun, r.Outcome)
			require.True(t, action.IsTicket(r.Ticket))
		}
		_, err = runTicket(3)
		require.Equal(t, failure.Unknown, failure.AsRefusal(err).Outcome)

		time.Sleep(time.Hour)
		m.RemoveExpired()
		tickets, err = m.IssueTickets("c", 1)
		require.NoError(t, err)
		_, err = runTicket(tickets.First)
		require.NoError(t, err)
		require.Len(t, d.runs, 2)
	})
}

// TestSealIsBounded: a seal over its limit drops the oldest tickets and reports
// them as unknown. Encoding and decoding keep the content of a seal.
func TestSealIsBounded(t *testing.T) {
	for _, limit := range []int{1 << 20, 400} {
		d := &countingDispatcher{}
		sent := make(chan action.Seal, 1)
		m := action.New(action.Config{Incarnation: "a", Dispatcher: d, Limits: action.Limits{MaxSealBytes: limit}, SealSender: sealReceiver(sent)})
		tickets, err := m.IssueTickets("c", 256)
		require.NoError(t, err)
		for n := tickets.First; n <= tickets.Last; n += 2 {
			_, err := m.Do(t.Context(), action.Call{Customer: "c", Key: tickets.Key(n)})
			require.NoError(t, err)
		}
		require.True(t, m.Seal(t.Context(), time.Second).ImportedByPeer)
		require.NoError(t, m.Stop())
		raw := (<-sent).Encode()
		require.LessOrEqual(t, len(raw), limit)
		seal, err := action.DecodeSeal(raw)
		require.NoError(t, err)

		other := action.New(action.Config{Incarnation: "b"})
		other.ImportSeal(seal)
		for n := tickets.First; n <= tickets.Last; n++ {
			rec, err := other.Outcome(t.Context(), action.Query{Customer: "c", Key: tickets.Key(n)})
			require.NoError(t, err)
			want := []failure.Outcome{failure.NotRun, failure.Ran}[n%2]
			if n < seal.MinNumber {
				want = failure.Unknown
			}
			require.Equal(t, want, rec.Outcome, "ticket %d, lowest number %d", n, seal.MinNumber)
		}
		require.Equal(t, limit < 1<<20, seal.MinNumber > 0)
		require.NoError(t, other.Stop())
	}
}

// sealReceiver is a SealSender that passes seals to a channel.
type sealReceiver chan action.Seal

func (c sealReceiver) Send(_ context.Context, s action.Seal) error {
	c <- s
	return nil
}

// TestCustomersDoNotShareCallerKeys: the same caller key of two customers names
// two actions.
func TestCustomersDoNotShareCallerKeys(t *testing.T) {
	d := &countingDispatcher{}
	m := action.New(action.Config{Incarnation: "a", Dispatcher: d, Store: newCountingStore()})
	defer func() { require.NoError(t, m.Stop()) }()
	for _, c := range []string{"luftvard", "tuul"} {
		resp, err := m.Do(t.Context(), action.Call{Customer: c, Key: "order-1", Body: []byte(c)})
		require.NoError(t, err)
		require.False(t, resp.Replayed)
	}
	require.Len(t, d.runs, 2)
}

// FuzzKey: a ticket that wasn't issued to the customer never runs anything.
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

// FuzzDecodeSeal: decoding any bytes from a peer or the store fails or yields a
// seal that can be encoded again.
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

// TestClaimOutlastsARestoreOfTheStore repeats a call at another gateway after the store was
// restored from a copy that lacks its claim.
func TestClaimOutlastsARestoreOfTheStore(t *testing.T) {
	d := &countingDispatcher{}
	s := newCountingStore()
	call := action.Call{Customer: "c", Key: "mine", Service: "booking", Name: "confirm", Body: []byte("x")}
	do := func(incarnation string) error {
		m := action.New(action.Config{Incarnation: incarnation, Dispatcher: d, Store: s})
		t.Cleanup(func() { require.NoError(t, m.Stop()) })
		_, err := m.Do(t.Context(), call)
		return err
	}
	copied := s.kv.Dump()
	require.NoError(t, do("a"))
	s.kv.Restore(copied)
	_ = do("b")
	total := 0
	for _, runs := range d.runs {
		total += runs
	}
	require.Equal(t, 1, total, "the action ran again")
}
