package relay

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/memory"
)

// TestServiceResponseIsCharged checks what the response of the attempt that succeeded holds,
// and that a response without memory is not taken for one that did not run.
func TestServiceResponseIsCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		w.addEngine("a", func(w *engineWriter) { w.writef("%s", strings.Repeat("x", 5000)); abortConnection(w) })
		w.addEngine("b", func(w *engineWriter) { w.writef("%s", strings.Repeat("x", 5000)) })
		account := memory.NewAccount(30_000)
		req := stockRequest
		req.Hold = account.Open(memory.Response)
		resp, _, err := w.relay.Call(context.Background(), req, w.pick)
		require.NoError(t, err)
		require.Len(t, resp.Body, 5000)
		require.Equal(t, int64(cap(resp.Body)), account.Usage().Response)
		req.Hold.Close()
		account.SetLimit(2000)
		req.Hold = account.Open(memory.Response)
		_, _, err = w.relay.Call(context.Background(), req, w.pick)
		require.Equal(t, failure.Unknown, failure.AsRefusal(err).Outcome)
		req.Hold.Close()
		require.Zero(t, account.Usage().InUse)
	})
}

// TestTextOfAChatIsCharged checks that the text kept for resuming a response is charged, and
// that a response without memory for it is delivered, but not resumed.
func TestTextOfAChatIsCharged(t *testing.T) {
	for limit, want := range map[int64]failure.Code{1000: "", 4: failure.CodeIncompleteResponse} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t, Settings{})
			defer w.close()
			w.addEngine("a", func(w *engineWriter) { w.writeChunks(3) })
			w.addEngine("b", completeResponse)
			account := memory.NewAccount(limit)
			req := ChatRequest{RequestID: "req-1", Model: "m", Body: chatBody, Hold: account.Open(memory.Response)}
			rec := httptest.NewRecorder()
			_, err := w.relay.Chat(context.Background(), req, w.pick, NewSSESink(rec, SSEOptions{ChunkID: "req-1"}))
			if want == "" {
				require.NoError(t, err)
				requireComplete(t, parseStream(t, rec.Body.String()))
				require.Positive(t, account.Usage().Response)
			} else {
				require.Equal(t, want, failure.AsRefusal(err).Code)
				require.Equal(t, 3, parseStream(t, rec.Body.String()).chunks)
				require.Zero(t, account.Usage().Response)
			}
			req.Hold.Close()
			require.Zero(t, account.Usage().InUse)
		})
	}
}

// TestDocumentIsCharged checks that a response that is collected is charged, also beyond the
// limit, since it is delivered in any case.
func TestDocumentIsCharged(t *testing.T) {
	account := memory.NewAccount(100)
	hold := account.Open(memory.Response)
	rec := httptest.NewRecorder()
	sink := NewJSONSink(rec, "req", "m", time.Now())
	sink.ChargeTo(hold)
	require.NoError(t, sink.Chunk(&Chunk{Content: strings.Repeat("x", 1000)}, false))
	require.GreaterOrEqual(t, account.Usage().Response, int64(1000))
	require.NoError(t, sink.Complete(Summary{}))
	require.GreaterOrEqual(t, account.Usage().Response, int64(1000+rec.Body.Len()))
	hold.Close()
	require.Zero(t, account.Usage().InUse)
}
