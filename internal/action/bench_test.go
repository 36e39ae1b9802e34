package action_test

import (
	"context"
	"runtime"
	"strconv"
	"testing"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// benchManager returns a manager with memory for n records.
func benchManager(n int, store platform.Store) *action.Manager {
	return action.New(action.Config{
		Incarnation: "7c0f7a64-5f0e-4b52-9b1e-0a4f6f3a2a10",
		Dispatcher:  dispatchFunc(runAll),
		Store:       store,
		Limits:      action.Limits{MaxRecords: n + 1, MaxKeptBytes: 1},
	})
}

// runAll is an endpoint that answers at once.
func runAll(o action.DispatchRequest) (action.EndpointResponse, error) {
	if err := o.Commit(); err != nil {
		return action.EndpointResponse{}, &action.NotSentError{Cause: err}
	}
	return action.EndpointResponse{Status: 200}, nil
}

func BenchmarkIssue(b *testing.B) {
	m := benchManager(1, nil)
	defer func() { _ = m.Stop() }()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := m.IssueTickets("luftvard", 32); err != nil {
			b.Fatal(err)
		}
	}
}

// ticketCall returns the call of the nth ticket of ranges of 256.
func ticketCalls(b *testing.B, m *action.Manager, n int) []action.Call {
	calls := make([]action.Call, 0, n)
	for len(calls) < n {
		r, err := m.IssueTickets("luftvard", 256)
		if err != nil {
			b.Fatal(err)
		}
		for i := r.First; i <= r.Last && len(calls) < n; i++ {
			calls = append(calls, action.Call{Customer: "luftvard", Key: r.Key(i), Service: "booking", Name: "confirm", Body: make([]byte, 200)})
		}
	}
	return calls
}

// BenchmarkDoTicket is one action under a ticket, without the endpoint's time:
// parse, verify, record, goroutine, commit, answer. It reports the memory that
// stays for each record.
func BenchmarkDoTicket(b *testing.B) {
	m := benchManager(b.N, nil)
	defer func() { _ = m.Stop() }()
	calls := ticketCalls(b, m, b.N)
	before := heap()
	b.ReportAllocs()
	b.ResetTimer()
	for _, c := range calls {
		if _, err := m.Do(context.Background(), c); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(heap()-before)/float64(b.N), "record-bytes")
	runtime.KeepAlive(calls)
	runtime.KeepAlive(m)
}

// heap returns the bytes in use after a collection.
func heap() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// BenchmarkReplay is the retry of an action under a ticket.
func BenchmarkReplay(b *testing.B) {
	m := benchManager(1, nil)
	defer func() { _ = m.Stop() }()
	c := ticketCalls(b, m, 1)[0]
	b.ReportAllocs()
	for b.Loop() {
		if _, err := m.Do(context.Background(), c); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDoClaim is one action under a caller's own key, with a store in
// memory that counts its calls.
func BenchmarkDoClaim(b *testing.B) {
	store := newCountedStore()
	m := benchManager(b.N, store)
	defer func() { _ = m.Stop() }()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		c := action.Call{Customer: "luftvard", Key: "own-" + strconv.Itoa(i), Service: "booking", Name: "confirm", Body: make([]byte, 200)}
		if _, err := m.Do(context.Background(), c); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	m.Seal(context.Background(), 0)
	b.ReportMetric(float64(store.calls.Load())/float64(b.N), "store-calls/op")
}

// BenchmarkSeal encodes a seal of 20,000 used tickets with no two neighbours.
func BenchmarkSeal(b *testing.B) {
	s := action.Seal{Incarnation: "a", SigningKey: make([]byte, 32)}
	for i := range uint64(20_000) {
		s.Ranges = append(s.Ranges, action.SealedRange{First: 1 + i*2 + i%3, Count: 1, Outcome: "ran"})
	}
	b.ReportAllocs()
	for b.Loop() {
		b.ReportMetric(float64(len(s.Encode()))/float64(len(s.Ranges)), "bytes/run")
	}
}
