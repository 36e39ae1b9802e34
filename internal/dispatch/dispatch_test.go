package dispatch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/sched"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
)

// bench is a dispatcher before one endpoint that takes one request at a time.
type bench struct {
	t     *testing.T
	d     *Dispatcher
	store *datastore.Store
}

func inBench(t *testing.T, maxQueue int, test func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		in := &intent.Intent{
			Regions:   map[string]intent.Region{"tuul": {}},
			Customers: map[string]intent.Customer{"depot": {}},
			Groups:    map[string]intent.Group{"planner": {Kind: intent.KindEngine, Regions: []string{"tuul"}, MaxConcurrent: 1}},
		}
		store := datastore.New(datastore.Options{Region: "tuul", Health: datastore.DefaultHealthOptions()})
		store.Configure(in)
		now := time.Now()
		store.Upsert(datastore.EndpointInfo{ID: "e1", Incarnation: "1", Group: "planner", Region: "tuul"}, now)
		store.ApplyLoadReport("e1", blackboard.LoadReport{At: now, PrefillRate: 10000, DecodeRate: 50, MaxBatch: 1}, now)
		a := admit.New("gw1", admit.Options{MaxQueueLength: maxQueue, RetryBurst: 10})
		a.Configure(in)
		a.SetGatewayIDs([]string{"gw1"})
		b := &bench{t: t, d: New(sched.New(sched.DefaultOptions()), store, a), store: store}
		var life tomb.Tomb
		life.Go(func() error { return b.d.Run(&life) })
		test(b)
		life.Kill(nil)
		require.NoError(t, life.Wait())
		require.Empty(t, b.d.waiters, "nobody is left waiting")
	})
}

// ended is what became of a request.
type ended struct {
	id  string
	err error
}

// acquire asks for a place with a deadline.
func (b *bench) acquire(ctx context.Context, id string, priority int, remaining time.Duration) error {
	item := admit.Request{ID: id, Customer: "depot", Group: "planner", Priority: priority, EstimatedTokens: 100, FirstTokenDeadline: time.Now().Add(remaining)}
	_, err := b.d.Acquire(ctx, item, &sched.Request{
		ID: id, Customer: "depot", Groups: []string{"planner"}, PromptTokens: 50, OutputTokens: 50, Priority: priority,
		TimeToDeadline: remaining, PermittedRegions: map[string]bool{"tuul": true},
	})
	return err
}

// release ends a request at the endpoint.
func (b *bench) release(id string) {
	b.store.RecordEnd("e1", id, datastore.Success, time.Now())
	b.d.Release(admit.Request{ID: id, Customer: "depot", Group: "planner"}, 0)
}

func codeOf(err error) failure.Code {
	var r *failure.Refusal
	if errors.As(err, &r) {
		return r.Code
	}
	return ""
}

func TestWaitingRequestsAreServedByPriorityThenInOrder(t *testing.T) {
	inBench(t, 10, func(b *bench) {
		require.NoError(b.t, b.acquire(context.Background(), "first", 5, time.Minute))
		done := make(chan ended, 6)
		for i, priority := range []int{1, 9, 5, 9, 1} {
			id := fmt.Sprintf("p%d-%d", priority, i)
			go func() { done <- ended{id: id, err: b.acquire(context.Background(), id, priority, time.Minute)} }()
			time.Sleep(time.Millisecond)
		}
		b.release("first")
		var order []string
		for range 5 {
			e := <-done
			require.NoError(b.t, e.err)
			order = append(order, e.id)
			time.Sleep(50 * time.Millisecond)
			require.Empty(b.t, done, "one place, one request")
			b.release(e.id)
		}
		require.Equal(b.t, []string{"p9-1", "p9-3", "p5-2", "p1-0", "p1-4"}, order)
	})
}

func TestWaitingRequestIsRefusedInTimeAndGivesItsPlaceBack(t *testing.T) {
	inBench(t, 10, func(b *bench) {
		require.NoError(b.t, b.acquire(context.Background(), "first", 5, time.Minute))
		start := time.Now()
		err := b.acquire(context.Background(), "late", 5, 2*time.Second)
		require.Equal(b.t, failure.CodeDeadline, codeOf(err))
		require.LessOrEqual(b.t, time.Since(start), 2*time.Second+pumpInterval)

		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.Error(b.t, b.acquire(ctx, "gone", 5, time.Minute))
		b.release("first")
		require.NoError(b.t, b.acquire(context.Background(), "next", 5, time.Minute))
	})
}

func TestFullQueueShedsTheLeastImportant(t *testing.T) {
	inBench(t, 1, func(b *bench) {
		require.NoError(b.t, b.acquire(context.Background(), "first", 5, time.Minute))
		low := make(chan error, 1)
		go func() { low <- b.acquire(context.Background(), "low", 1, time.Minute) }()
		time.Sleep(time.Millisecond)
		require.Equal(b.t, failure.CodeOverloaded, codeOf(b.acquire(context.Background(), "lower", 0, time.Minute)))
		high := make(chan error, 1)
		go func() { high <- b.acquire(context.Background(), "high", 9, time.Minute) }()
		require.Equal(b.t, failure.CodeOverloaded, codeOf(<-low))
		b.release("first")
		require.NoError(b.t, <-high)
	})
}

func TestRetryWaitsBehindMoreImportantRequests(t *testing.T) {
	inBench(t, 10, func(b *bench) {
		require.NoError(b.t, b.acquire(context.Background(), "first", 1, time.Minute))
		high := make(chan error, 1)
		go func() { high <- b.acquire(context.Background(), "high", 9, time.Minute) }()
		time.Sleep(time.Millisecond)
		b.store.RecordEnd("e1", "first", datastore.Truncated, time.Now())
		item := admit.Request{ID: "first", Customer: "depot", Group: "planner", Priority: 1, FirstTokenDeadline: time.Now().Add(time.Minute)}
		retried := make(chan error, 1)
		go func() {
			_, err := b.d.Retry(context.Background(), item, &sched.Request{
				ID: "first", Groups: []string{"planner"}, Priority: 1, TimeToDeadline: time.Minute,
				PermittedRegions: map[string]bool{"tuul": true},
			})
			retried <- err
		}()
		require.NoError(b.t, <-high)
		time.Sleep(time.Second)
		require.Empty(b.t, retried, "the retry waits")
		b.release("high")
		require.NoError(b.t, <-retried)
	})
}
