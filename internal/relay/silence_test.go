package relay

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/standin/fault"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// slack is what a recovery may take in virtual time beyond the limit on
// silence that it has to wait for.
const slack = 100 * time.Millisecond

// warm leaves n idle connections to the engines.
func (w *world) warm(t *testing.T, n int) {
	t.Helper()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			a, _, err := w.chat(context.Background())
			require.NoError(t, err)
			requireWhole(t, a)
		})
	}
	wg.Wait()
	synctest.Wait()
}

func hold(w *engineWriter) {
	time.Sleep(time.Millisecond)
	whole(w)
}

func (e *fakeEngine) silence(t *testing.T) {
	t.Helper()
	require.NoError(t, e.faults.Set(fault.Setting{Kind: fault.Silent}))
}

func TestSilentIdleConnections(t *testing.T) {
	const idle = 20
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		w := newWorld(t, Settings{Logger: telemetry.NewLogger(&lines, log.InfoLevel)})
		defer w.close()
		e := w.engine("a", hold)
		w.warm(t, idle)
		require.Equal(t, idle, w.net.dialed("a"))
		e.silence(t)
		start := time.Now()
		a, sum, err := w.chat(context.Background())
		require.NoError(t, err)
		requireWhole(t, a)
		require.Less(t, time.Since(start), DefaultHeaderTimeout+slack)
		require.Equal(t, 2, sum.Attempts)
		require.Equal(t, "a", sum.Target.ID)
		require.Empty(t, w.seen.blame)
		w.requireQuick(t, idle)
		require.Equal(t, 2, strings.Count(lines.String(), "\n"), "one line for each change of state: %s", lines.String())
	})
}

// requireQuick checks that none of n further requests meets a silent
// connection.
func (w *world) requireQuick(t *testing.T, n int) {
	t.Helper()
	start := time.Now()
	w.warm(t, n)
	require.Less(t, time.Since(start), slack)
}

func TestConnectionGoesSilentUnderStreams(t *testing.T) {
	const streams = 5
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		e := w.engine("a", func(w *engineWriter) {
			w.chunks(faultAt)
			time.Sleep(time.Second)
			w.resume(max(w.from, faultAt))
		})
		var wg sync.WaitGroup
		start := time.Now()
		for range streams {
			wg.Go(func() {
				a, sum, err := w.chat(context.Background())
				require.NoError(t, err)
				requireWhole(t, a)
				require.Equal(t, 1, sum.ResumedAttempts)
				require.Equal(t, "a", sum.Target.ID)
			})
		}
		synctest.Wait()
		e.silence(t)
		wg.Wait()
		require.Less(t, time.Since(start), DefaultNextTokenTimeout+time.Second+slack)
		require.Empty(t, w.seen.blame)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, streams, e.cancels(), "the lost attempts' work must be cancelled")
	})
}

func TestSilentEndpointIsBlamedAfterANewConnection(t *testing.T) {
	never := func(w *engineWriter) { <-w.ctx.Done() }
	mute := func(w *engineWriter) { w.raw(": open\n\n"); <-w.ctx.Done() }
	late := func(w *engineWriter) { w.chunks(faultAt); <-w.ctx.Done() }
	cases := []struct {
		name  string
		run   script
		kinds []ResultKind
		limit time.Duration
	}{
		{"no header", never, []ResultKind{ResultEndpointSilent, ResultOK}, DefaultHeaderTimeout},
		{"no first token", mute, []ResultKind{ResultConnSilent, ResultEndpointSilent, ResultOK}, 2 * DefaultFirstTokenTimeout},
		{"no next token", late, []ResultKind{ResultConnSilent, ResultEndpointSilent, ResultOK}, DefaultNextTokenTimeout + DefaultFirstTokenTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, Settings{})
				defer w.close()
				w.engine("a", c.run)
				w.engine("b", whole)
				start := time.Now()
				a, _, err := w.chat(context.Background())
				require.NoError(t, err)
				requireWhole(t, a)
				require.Equal(t, c.kinds, w.seen.kinds)
				require.Equal(t, []string{"a"}, w.seen.blame)
				require.Less(t, time.Since(start), c.limit+slack)
			})
		})
	}
}

func TestDialThatHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		w.net.listen("a")
		w.order = []string{"a"}
		w.engine("b", whole)
		start := time.Now()
		a, _, err := w.chat(context.Background())
		require.NoError(t, err)
		requireWhole(t, a)
		require.Equal(t, []ResultKind{ResultDialFailed, ResultOK}, w.seen.kinds)
		require.Less(t, time.Since(start), DefaultDialTimeout+slack)
	})
}
