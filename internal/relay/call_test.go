package relay

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// stockRequest is an idempotent request, which net/http would send again by
// itself if it could rewind the body.
var stockRequest = ServiceRequest{
	RequestID: "req-1", Method: http.MethodPost, Path: "/stock?depot=7",
	Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte(`{"depot":7}`),
}

func sendStock(w *engineWriter) {
	w.WriteHeader(http.StatusCreated)
	w.writef("12 bags")
}

func abortConnection(*engineWriter) { panic(http.ErrAbortHandler) }

// callFaults are faults after which a service call is retried on another
// endpoint.
var callFaults = []struct {
	name string
	run  script
	want ResultKind
}{
	{"response of another attempt", func(w *engineWriter) { w.Header().Set(HeaderAttemptID, "other"); sendStock(w) }, ResultMismatched},
	{"no attempt id", func(w *engineWriter) { w.Header().Del(HeaderAttemptID); sendStock(w) }, ResultMismatched},
	{"connection closed", abortConnection, ResultTruncated},
	{"connection closed within the response", func(w *engineWriter) { sendStock(w); abortConnection(w) }, ResultTruncated},
	{"body shorter than Content-Length", func(w *engineWriter) { w.Header().Set("Content-Length", "99"); sendStock(w) }, ResultTruncated},
	{"body too large", func(w *engineWriter) { w.writef("%s", strings.Repeat("x", DefaultMaxServiceBodyBytes+1)) }, ResultMalformed},
	{"no response", func(w *engineWriter) { <-w.ctx.Done() }, ResultEndpointSilent},
	{"status 503", func(w *engineWriter) { w.WriteHeader(http.StatusServiceUnavailable) }, ResultBusy},
	{"status 500", func(w *engineWriter) { w.WriteHeader(http.StatusInternalServerError) }, ResultBadStatus},
}

func TestServiceCallIsRetriedOnAnotherEndpoint(t *testing.T) {
	for _, f := range callFaults {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestbed(t, Settings{})
				defer w.close()
				w.addEngine("a", f.run)
				b := w.addEngine("b", sendStock)
				resp, _, err := w.relay.Call(context.Background(), stockRequest, w.pick)
				require.NoError(t, err)
				require.Equal(t, http.StatusCreated, resp.Status)
				require.Equal(t, "12 bags", string(resp.Body))
				require.Equal(t, []ResultKind{f.want, ResultOK}, w.observer.resultKinds)
				require.Equal(t, "/stock?depot=7", b.requests[0].URL.String())
			})
		})
	}
}

func TestStatusOfServiceIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		w.addEngine("a", func(w *engineWriter) { w.WriteHeader(http.StatusNotFound); w.writef("no such depot") })
		resp, _, err := w.relay.Call(context.Background(), stockRequest, w.pick)
		require.NoError(t, err)
		require.Equal(t, http.StatusNotFound, resp.Status)
		require.Equal(t, "no such depot", string(resp.Body))
	})
}

// TestEachAttemptIsSentOnce guards against net/http sending a request again by
// itself, which it does when the endpoint closes a pooled connection after the
// request was sent.
func TestEachAttemptIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		e := w.addEngine("a", sendStock, abortConnection, sendStock)
		for range 2 {
			_, _, err := w.relay.Call(context.Background(), stockRequest, w.pick)
			require.NoError(t, err)
		}
		require.Equal(t, []ResultKind{ResultOK, ResultConnLost, ResultOK}, w.observer.resultKinds)
		ids := make(map[string]bool)
		for _, r := range e.requests {
			ids[r.Header.Get(HeaderAttemptID)] = true
		}
		require.Len(t, ids, len(e.requests), "an attempt was sent twice")
		require.Empty(t, w.observer.faultyTargets)
	})
}

func TestRetryBudgetAndDeadlineEndRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{RetryBudget: newFixedBudget(1), MaxAttempts: 10})
		defer w.close()
		for _, name := range []string{"a", "b", "c", "d"} {
			w.addEngine(name, abortConnection)
		}
		_, sum, err := w.chat(context.Background())
		require.Equal(t, 2, sum.Attempts)
		require.Equal(t, failure.CodeEndpointFailed, failure.AsRefusal(err).Code)
		require.Equal(t, failure.Unknown, failure.AsRefusal(err).Outcome)
	})
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		w.addEngine("a", func(w *engineWriter) { w.writeChunks(faultSeq); <-w.ctx.Done() })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		got, _, err := w.chat(ctx)
		require.Equal(t, failure.CodeDeadlineExceeded, failure.AsRefusal(err).Code)
		require.Equal(t, receivedStream{text: firstTokens(faultSeq), chunks: faultSeq, errorCode: "deadline_exceeded"}, got)
		require.Equal(t, []ResultKind{ResultDeadlineExceeded}, w.observer.resultKinds)
		require.Empty(t, w.observer.faultyTargets)
	})
}

// fixedBudget is a retry budget of a fixed number of retries.
type fixedBudget struct{ left int }

func newFixedBudget(n int) *fixedBudget { return &fixedBudget{left: n} }

func (b *fixedBudget) TrySpend() bool {
	b.left--
	return b.left >= 0
}
