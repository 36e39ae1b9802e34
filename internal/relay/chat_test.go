package relay

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/failure"
)

func TestWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		e := w.engine("a", whole)
		a, sum, err := w.chat(context.Background())
		require.NoError(t, err)
		requireWhole(t, a)
		require.Equal(t, uint64(answerLength+1), sum.Tokens)
		require.Equal(t, answerLength, sum.Usage.CompletionTokens)
		require.Equal(t, "3", e.got[0].Header.Get(HeaderPriority))
		require.Equal(t, []ResultKind{ResultOK}, w.seen.kinds)
	})
}

func TestResumeOnAnotherEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		w.engine("a", func(w *engineWriter) { w.chunks(3) })
		b := w.engine("b", whole)
		a, sum, err := w.chat(context.Background())
		require.NoError(t, err)
		requireWhole(t, a)
		require.Equal(t, 1, sum.ResumedAttempts)
		require.Equal(t, &Resume{NextSeq: 3, Text: text(3)}, b.resumes[0])
		require.Equal(t, []ResultKind{ResultTruncated, ResultOK}, w.seen.kinds)
	})
}

func TestNoEndpointReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		w.order = []string{"nowhere", "nobody"}
		_, sum, err := w.chat(context.Background())
		require.Equal(t, failure.NotRun, failure.AsRefusal(err).Outcome)
		require.Equal(t, 2, sum.Attempts)
		require.Equal(t, 1, w.net.dialed("nobody"))
		require.False(t, sum.ResponseStarted)
	})
}

func TestIncompleteAnswerEndsWithErrorEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{MaxAttempts: 1})
		defer w.close()
		e := w.engine("a", func(w *engineWriter) { w.chunks(3) })
		a, sum, err := w.chat(context.Background())
		require.Equal(t, failure.Unknown, failure.AsRefusal(err).Outcome)
		require.Equal(t, answer{text: text(3), failed: "incomplete_answer", chunks: 3}, a)
		require.True(t, sum.ResponseStarted)
		synctest.Wait()
		require.Equal(t, 1, e.attempts())
		require.Equal(t, 1, e.cancels())
	})
}
