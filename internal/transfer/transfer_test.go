package transfer_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/transfer"
)

const (
	silence = 500 * time.Millisecond
	rate    = 100_000
)

// run plays a call whose response has pieces of the given size, one each interval from the first
// on, and returns how long the call lasted and its error.
func run(t *testing.T, hold, first, interval time.Duration, size, pieces int) (took time.Duration, err error) {
	synctest.Test(t, func(*testing.T) {
		startedAt := time.Now()
		limit := transfer.Limit{Silence: func() time.Duration { return silence }, BytesPerSecond: rate}
		ctx, call := limit.Start(context.Background(), hold)
		defer call.Stop()
		r, w := io.Pipe()
		stop := context.AfterFunc(ctx, func() { r.CloseWithError(ctx.Err()) })
		defer stop()
		var server sync.WaitGroup
		defer server.Wait()
		server.Go(func() {
			time.Sleep(first)
			for range pieces {
				if _, err := w.Write(make([]byte, size)); err != nil {
					return
				}
				time.Sleep(interval)
			}
			w.Close()
		})
		_, err = io.Copy(io.Discard, call.Reader(r))
		took, err = time.Since(startedAt), call.Err(err)
	})
	return took, err
}

func TestResponseThatGoesOnIsNotGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		hold, first, interval time.Duration
		size, pieces          int
	}{
		"at twice the least rate for a minute": {0, 10 * time.Millisecond, 100 * time.Millisecond, rate / 5, 600},
		"with pauses below the limit":          {0, 490 * time.Millisecond, 490 * time.Millisecond, rate, 20},
		"held by the server":                   {10 * time.Second, 10400 * time.Millisecond, 10 * time.Millisecond, rate, 3},
		"empty":                                {0, 490 * time.Millisecond, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := run(t, c.hold, c.first, c.interval, c.size, c.pieces)
			require.NoError(t, err)
		})
	}
}

// TestSlowResponseIsGivenUp guards against a response that holds its caller for as long as it likes.
func TestSlowResponseIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		hold, first, interval time.Duration
		size, pieces          int
		within                time.Duration
		received              int64
	}{
		"that never begins":              {0, time.Hour, 0, 1, 1, silence, 0},
		"that never begins, held":        {3 * time.Second, time.Hour, 0, 1, 1, 3*time.Second + silence, 0},
		"that falls silent":              {0, 100 * time.Millisecond, time.Hour, rate, 2, 600 * time.Millisecond, rate},
		"that falls silent after a hold": {9 * time.Second, 100 * time.Millisecond, time.Hour, rate, 2, 600 * time.Millisecond, rate},
		"a byte at a time":               {0, 0, 100 * time.Millisecond, 1, 1000, 501 * time.Millisecond, 6},
		"at half of the least rate":      {0, 0, 100 * time.Millisecond, rate / 20, 1000, time.Second + 50*time.Millisecond, 11 * rate / 20},
	} {
		t.Run(name, func(t *testing.T) {
			took, err := run(t, c.hold, c.first, c.interval, c.size, c.pieces)
			var slow *transfer.SlowError
			require.ErrorAs(t, err, &slow)
			require.ErrorIs(t, err, context.DeadlineExceeded)
			require.LessOrEqual(t, took, c.within)
			require.LessOrEqual(t, slow.Received, c.received)
			require.Equal(t, took, slow.Elapsed)
		})
	}
}

// TestFailedCallKeepsItsError guards against a failure that is taken for a slow response.
func TestFailedCallKeepsItsError(t *testing.T) {
	_, call := transfer.Limit{Silence: func() time.Duration { return time.Hour }, BytesPerSecond: 1}.Start(context.Background(), 0)
	defer call.Stop()
	cause := errors.New("reset")
	require.Equal(t, cause, call.Err(cause))
	require.NoError(t, call.Err(nil))
}
