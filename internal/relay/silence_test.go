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

// recoveryMargin is what a recovery may take in virtual time beyond the limit on
// silence that it has to wait for.
const recoveryMargin = 100 * time.Millisecond

// openIdleConnections leaves n idle connections to the engines.
func (w *testbed) openIdleConnections(t *testing.T, n int) {
	t.Helper()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			a, _, err := w.chat(context.Background())
			require.NoError(t, err)
			requireComplete(t, a)
		})
	}
	wg.Wait()
	synctest.Wait()
}

func respondAfterDelay(w *engineWriter) {
	time.Sleep(time.Millisecond)
	completeResponse(w)
}

func (e *fakeEngine) silenceConnections(t *testing.T) {
	t.Helper()
	require.NoError(t, e.faults.Set(fault.Setting{Kind: fault.Silent}))
}

func TestSilentIdleConnections(t *testing.T) {
	const idle = 20
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		w := newTestbed(t, Settings{Logger: telemetry.NewLogger(&lines, log.InfoLevel)})
		defer w.close()
		e := w.addEngine("a", respondAfterDelay)
		w.openIdleConnections(t, idle)
		require.Equal(t, idle, w.net.dialCount("a"))
		e.silenceConnections(t)
		start := time.Now()
		a, sum, err := w.chat(context.Background())
		require.NoError(t, err)
		requireComplete(t, a)
		require.Less(t, time.Since(start), DefaultHeaderTimeout+recoveryMargin)
		require.Equal(t, 2, sum.Attempts)
		require.Equal(t, "a", sum.Target.ID)
		require.Empty(t, w.observer.faultyTargets)
		w.requireNoSilentConnection(t, idle)
		require.Equal(t, 2, strings.Count(lines.String(), "\n"), "one line for each change of state: %s", lines.String())
	})
}

// requireNoSilentConnection checks that none of n further requests meets a silent
// connection.
func (w *testbed) requireNoSilentConnection(t *testing.T, n int) {
	t.Helper()
	start := time.Now()
	w.openIdleConnections(t, n)
	require.Less(t, time.Since(start), recoveryMargin)
}

func TestConnectionGoesSilentUnderStreams(t *testing.T) {
	const streams = 5
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		e := w.addEngine("a", func(w *engineWriter) {
			w.writeChunks(faultSeq)
			time.Sleep(time.Second)
			w.writeRest(max(w.nextSeq, faultSeq))
		})
		var wg sync.WaitGroup
		start := time.Now()
		for range streams {
			wg.Go(func() {
				a, sum, err := w.chat(context.Background())
				require.NoError(t, err)
				requireComplete(t, a)
				require.Equal(t, 1, sum.ResumedAttempts)
				require.Equal(t, "a", sum.Target.ID)
			})
		}
		synctest.Wait()
		e.silenceConnections(t)
		wg.Wait()
		require.Less(t, time.Since(start), DefaultNextTokenTimeout+time.Second+recoveryMargin)
		require.Empty(t, w.observer.faultyTargets)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, streams, e.cancelCount(), "the lost attempts' work must be cancelled")
	})
}

func TestSilentEndpointIsAtFaultAfterNewConnection(t *testing.T) {
	never := func(w *engineWriter) { <-w.ctx.Done() }
	mute := func(w *engineWriter) { w.writef(": open\n\n"); <-w.ctx.Done() }
	late := func(w *engineWriter) { w.writeChunks(faultSeq); <-w.ctx.Done() }
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
				w := newTestbed(t, Settings{})
				defer w.close()
				w.addEngine("a", c.run)
				w.addEngine("b", completeResponse)
				start := time.Now()
				a, _, err := w.chat(context.Background())
				require.NoError(t, err)
				requireComplete(t, a)
				require.Equal(t, c.kinds, w.observer.resultKinds)
				require.Equal(t, []string{"a"}, w.observer.faultyTargets)
				require.Less(t, time.Since(start), c.limit+recoveryMargin)
			})
		})
	}
}

func TestHangingDialTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		w.net.listen("a")
		w.engineOrder = []string{"a"}
		w.addEngine("b", completeResponse)
		start := time.Now()
		a, _, err := w.chat(context.Background())
		require.NoError(t, err)
		requireComplete(t, a)
		require.Equal(t, []ResultKind{ResultDialFailed, ResultOK}, w.observer.resultKinds)
		require.Less(t, time.Since(start), DefaultDialTimeout+recoveryMargin)
	})
}
