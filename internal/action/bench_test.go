package action_test

import (
	"context"
	"runtime"
	"strconv"
	"testing"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// newBenchManager returns a manager with room for n records.
func newBenchManager(n int, store platform.Store) *action.Manager {
	return action.New(action.Config{
		Incarnation: "7c0f7a64-5f0e-4b52-9b1e-0a4f6f3a2a10",
		Dispatcher:  dispatchFunc(commitAndRespond),
		Store:       store,
		Limits:      action.Limits{MaxRecords: n + 1, MaxTotalReplayBytes: 1},
	})
}

// commitAndRespond commits a request and responds at once.
func commitAndRespond(r action.DispatchRequest) (action.EndpointResponse, error) {
	if err := r.Commit(); err != nil {
		return action.EndpointResponse{}, &action.NotSentError{Cause: err}
	}
	return action.EndpointResponse{Status: 200}, nil
}

func BenchmarkIssue(b *testing.B) {
	m := newBenchManager(1, nil)
	defer func() { _ = m.Stop() }()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := m.IssueTickets("luftvard", 32); err != nil {
			b.Fatal(err)
		}
	}
}

// ticketCalls returns n calls, each under a ticket of its own.
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

// BenchmarkDoTicket measures one action under a ticket, without the endpoint's
// time: parsing, verification, record, goroutine, commit and response. It
// reports the memory that each record keeps in use.
func BenchmarkDoTicket(b *testing.B) {
	m := newBenchManager(b.N, nil)
	defer func() { _ = m.Stop() }()
	calls := ticketCalls(b, m, b.N)
	before := heapBytes()
	b.ReportAllocs()
	b.ResetTimer()
	for _, c := range calls {
		if _, err := m.Do(context.Background(), c); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "record-bytes")
	runtime.KeepAlive(calls)
	runtime.KeepAlive(m)
}

// heapBytes returns the heap bytes in use after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// BenchmarkReplay measures the retry of an action under a ticket.
func BenchmarkReplay(b *testing.B) {
	m := newBenchManager(1, nil)
	defer func() { _ = m.Stop() }()
	c := ticketCalls(b, m, 1)[0]
	b.ReportAllocs()
	for b.Loop() {
		if _, err := m.Do(context.Background(), c); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDoClaim measures one action under a caller key with an in-memory
// store, and reports the number of store calls.
func BenchmarkDoClaim(b *testing.B) {
	store := newCountingStore()
	m := newBenchManager(b.N, store)
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

// BenchmarkSeal encodes a seal of 20,000 used tickets, of which no two are
// adjacent.
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
