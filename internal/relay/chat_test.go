package relay

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/failure"
)

func TestCompleteResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		e := w.addEngine("a", completeResponse)
		got, sum, err := w.chat(context.Background())
		require.NoError(t, err)
		requireComplete(t, got)
		require.Equal(t, uint64(responseTokens+1), sum.Tokens)
		require.Equal(t, responseTokens, sum.Usage.CompletionTokens)
		require.Equal(t, "3", e.requests[0].Header.Get(HeaderPriority))
		require.Equal(t, []ResultKind{ResultOK}, w.observer.resultKinds)
	})
}

func TestResumeOnAnotherEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		w.addEngine("a", func(w *engineWriter) { w.writeChunks(3) })
		b := w.addEngine("b", completeResponse)
		got, sum, err := w.chat(context.Background())
		require.NoError(t, err)
		requireComplete(t, got)
		require.Equal(t, 1, sum.ResumedAttempts)
		require.Equal(t, &Resume{NextSeq: 3, Text: firstTokens(3)}, b.resumes[0])
		require.Equal(t, []ResultKind{ResultTruncated, ResultOK}, w.observer.resultKinds)
	})
}

func TestUnreachableEndpointsEndAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		w.engineOrder = []string{"nowhere", "nobody"}
		_, sum, err := w.chat(context.Background())
		require.Equal(t, failure.NotRun, failure.AsRefusal(err).Outcome)
		require.Equal(t, 2, sum.Attempts)
		require.Equal(t, 1, w.net.dialCount("nobody"))
		require.False(t, sum.ResponseStarted)
	})
}

func TestIncompleteResponseEndsWithErrorEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{MaxAttempts: 1})
		defer w.close()
		e := w.addEngine("a", func(w *engineWriter) { w.writeChunks(3) })
		got, sum, err := w.chat(context.Background())
		require.Equal(t, failure.Unknown, failure.AsRefusal(err).Outcome)
		require.Equal(t, receivedStream{text: firstTokens(3), errorCode: "incomplete_answer", chunks: 3}, got)
		require.True(t, sum.ResponseStarted)
		synctest.Wait()
		require.Equal(t, 1, e.attemptCount())
		require.Equal(t, 1, e.cancelCount())
	})
}
