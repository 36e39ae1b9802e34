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

// stockCall is a repeatable call that net/http would send again by itself, if
// it could rewind the body.
var stockCall = ServiceRequest{
	RequestID: "req-1", Method: http.MethodPost, Path: "/stock?depot=7",
	Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte(`{"depot":7}`),
}

func stock(w *engineWriter) {
	w.WriteHeader(http.StatusCreated)
	w.raw("12 bags")
}

func abort(*engineWriter) { panic(http.ErrAbortHandler) }

// callFaults are faults after which a call is made again at another endpoint.
var callFaults = []struct {
	name string
	run  script
	want ResultKind
}{
	{"crossed", func(w *engineWriter) { w.Header().Set(HeaderAttemptID, "other"); stock(w) }, ResultMismatched},
	{"no attempt id", func(w *engineWriter) { w.Header().Del(HeaderAttemptID); stock(w) }, ResultMismatched},
	{"connection closed", abort, ResultTruncated},
	{"closed within the answer", func(w *engineWriter) { stock(w); abort(w) }, ResultTruncated},
	{"shorter than it says", func(w *engineWriter) { w.Header().Set("Content-Length", "99"); stock(w) }, ResultTruncated},
	{"too large", func(w *engineWriter) { w.raw("%s", strings.Repeat("x", DefaultMaxCallBytes+1)) }, ResultMalformed},
	{"silent", func(w *engineWriter) { <-w.ctx.Done() }, ResultEndpointSilent},
	{"status 503", func(w *engineWriter) { w.WriteHeader(http.StatusServiceUnavailable) }, ResultBusy},
	{"status 500", func(w *engineWriter) { w.WriteHeader(http.StatusInternalServerError) }, ResultBadStatus},
}

func TestCallIsMadeAgainElsewhere(t *testing.T) {
	for _, f := range callFaults {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, Settings{})
				defer w.close()
				w.engine("a", f.run)
				b := w.engine("b", stock)
				resp, _, err := w.relay.Call(context.Background(), stockCall, w.pick)
				require.NoError(t, err)
				require.Equal(t, http.StatusCreated, resp.Status)
				require.Equal(t, "12 bags", string(resp.Body))
				require.Equal(t, []ResultKind{f.want, ResultOK}, w.seen.kinds)
				require.Equal(t, "/stock?depot=7", b.got[0].URL.String())
			})
		})
	}
}

func TestCallStatusOfTheServiceIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		w.engine("a", func(w *engineWriter) { w.WriteHeader(http.StatusNotFound); w.raw("no such depot") })
		resp, _, err := w.relay.Call(context.Background(), stockCall, w.pick)
		require.NoError(t, err)
		require.Equal(t, http.StatusNotFound, resp.Status)
		require.Equal(t, "no such depot", string(resp.Body))
	})
}

// TestEachAttemptIsSentOnce uses a pooled connection that the endpoint closes
// under the request, which net/http answers by sending the request again.
func TestEachAttemptIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		e := w.engine("a", stock, abort, stock)
		for range 2 {
			_, _, err := w.relay.Call(context.Background(), stockCall, w.pick)
			require.NoError(t, err)
		}
		require.Equal(t, []ResultKind{ResultOK, ResultConnLost, ResultOK}, w.seen.kinds)
		ids := make(map[string]bool)
		for _, r := range e.got {
			ids[r.Header.Get(HeaderAttemptID)] = true
		}
		require.Len(t, ids, len(e.got), "an attempt was sent twice")
		require.Empty(t, w.seen.blame)
	})
}

func TestRetryBudgetAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{RetryBudget: budget(1), MaxAttempts: 10})
		defer w.close()
		for _, name := range []string{"a", "b", "c", "d"} {
			w.engine(name, abort)
		}
		_, sum, err := w.chat(context.Background())
		require.Equal(t, 2, sum.Attempts)
		require.Equal(t, failure.CodeEndpointFailed, failure.AsRefusal(err).Code)
		require.Equal(t, failure.Unknown, failure.AsRefusal(err).Outcome)
	})
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		w.engine("a", func(w *engineWriter) { w.chunks(faultAt); <-w.ctx.Done() })
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		a, _, err := w.chat(ctx)
		require.Equal(t, failure.CodeDeadlineExceeded, failure.AsRefusal(err).Code)
		require.Equal(t, answer{text: text(faultAt), chunks: faultAt, failed: "deadline_exceeded"}, a)
		require.Equal(t, []ResultKind{ResultDeadlineExceeded}, w.seen.kinds)
		require.Empty(t, w.seen.blame)
	})
}

// budget allows a number of retries.
type fixedBudget struct{ left int }

func budget(n int) *fixedBudget { return &fixedBudget{left: n} }

func (b *fixedBudget) TrySpend() bool {
	b.left--
	return b.left >= 0
}
