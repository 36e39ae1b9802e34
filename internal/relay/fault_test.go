package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// faultAt is the number of the chunk that the faults below befall.
const faultAt = 3

// streamFaults are the faults that an attempt can't survive: what the endpoint
// does, and the result that it is reported with.
var streamFaults = []struct {
	name string
	run  script
	want ResultKind
}{
	{"crossed chunk", func(w *engineWriter) { w.chunks(faultAt); w.chunk("other", faultAt); w.resume(faultAt) }, ResultMismatched},
	{"late chunk of the attempt before", func(w *engineWriter) { w.chunks(faultAt); w.chunk("attempt-0", 1); w.resume(faultAt) }, ResultMismatched},
	{"crossed header", func(w *engineWriter) { w.Header().Set(HeaderAttemptID, "other"); whole(w) }, ResultMismatched},
	{"crossed end", func(w *engineWriter) { w.chunks(answerLength); w.id = "other"; w.finish(answerLength); w.done() }, ResultMismatched},
	{"no attempt id", func(w *engineWriter) { w.Header().Del(HeaderAttemptID); whole(w) }, ResultMismatched},
	{"missing chunk", func(w *engineWriter) { w.chunks(faultAt); w.resume(faultAt + 1) }, ResultMissingChunk},
	{"missing last chunk", func(w *engineWriter) {
		w.chunks(answerLength - 1)
		w.finish(answerLength)
		w.done()
	}, ResultMissingChunk},
	{"chunk after the last one", func(w *engineWriter) {
		w.chunks(faultAt)
		w.finish(faultAt)
		w.chunk(w.id, faultAt+1)
		w.done()
	}, ResultMissingChunk},
	{"body ends early", func(w *engineWriter) { w.chunks(faultAt) }, ResultTruncated},
	{"body ends within a chunk", func(w *engineWriter) { w.chunks(faultAt); w.raw("data: {\"id\":%q,\"seq\":3", w.id) }, ResultTruncated},
	{"chunk without its line end", func(w *engineWriter) {
		w.chunks(faultAt)
		w.raw("data: {\"id\":%q,\"seq\":3,\"choices\":[{\"delta\":{\"content\":\"t3 \"}}]}", w.id)
	}, ResultTruncated},
	{"connection closed", func(w *engineWriter) { w.chunks(faultAt); panic(http.ErrAbortHandler) }, ResultTruncated},
	{"no end mark", func(w *engineWriter) { w.chunks(answerLength); w.finish(answerLength) }, ResultTruncated},
	{"end mark without its line end", func(w *engineWriter) { w.chunks(answerLength); w.finish(answerLength); w.raw("data: [DONE]") }, ResultTruncated},
	{"error event", func(w *engineWriter) {
		w.chunks(faultAt)
		w.raw("event: error\ndata: {\"error\":{\"message\":\"x\"}}\n\n")
	}, ResultTruncated},
	{"error object", func(w *engineWriter) { w.chunks(faultAt); w.raw("data: {\"error\":{\"message\":\"x\"}}\n\n") }, ResultTruncated},
	{"end mark too early", func(w *engineWriter) { w.chunks(faultAt); w.done() }, ResultMalformed},
	{"broken JSON", func(w *engineWriter) { w.chunks(faultAt); w.raw("data: {\"id\":%q,\"seq\":3,\n\n", w.id) }, ResultMalformed},
	{"id given twice", func(w *engineWriter) { w.chunks(faultAt); w.raw("data: {\"id\":%q,\"id\":\"x\",\"seq\":3}\n\n", w.id) }, ResultMalformed},
	{"no seq", func(w *engineWriter) { w.chunks(faultAt); w.raw("data: {\"id\":%q}\n\n", w.id) }, ResultMalformed},
	{"half a seq", func(w *engineWriter) { w.chunks(faultAt); w.raw("data: {\"id\":%q,\"seq\":3.5}\n\n", w.id) }, ResultMalformed},
	{"two choices", func(w *engineWriter) {
		w.chunks(faultAt)
		w.raw("data: {\"id\":%q,\"seq\":3,\"choices\":[{},{}]}\n\n", w.id)
	}, ResultMalformed},
	{"endless line", func(w *engineWriter) {
		w.chunks(faultAt)
		w.raw("data: %s", strings.Repeat("x", 2*DefaultMaxLine))
	}, ResultMalformed},
	{"status 500", func(w *engineWriter) { w.WriteHeader(http.StatusInternalServerError) }, ResultBadStatus},
	{"status 502 of something in between", func(w *engineWriter) {
		w.Header().Del(HeaderAttemptID)
		w.WriteHeader(http.StatusBadGateway)
	}, ResultBadStatus},
	{"status 503 without an attempt id", func(w *engineWriter) {
		w.Header().Del(HeaderAttemptID)
		w.WriteHeader(http.StatusServiceUnavailable)
	}, ResultBadStatus},
	{"status 302", func(w *engineWriter) { w.Header().Set("Location", "/x"); w.WriteHeader(http.StatusFound) }, ResultBadStatus},
}

// resume goes on with the answer from chunk seq to its end.
func (w *engineWriter) resume(seq uint64) {
	w.from = seq
	whole(w)
}

func TestFaultIsResumedElsewhere(t *testing.T) {
	for _, f := range streamFaults {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, Settings{})
				defer w.close()
				e := w.engine("a", f.run, whole)
				w.engine("b", whole)
				a, sum, err := w.chat(context.Background())
				require.NoError(t, err)
				requireWhole(t, a)
				require.Equal(t, []ResultKind{f.want, ResultOK}, w.seen.kinds)
				require.Equal(t, []string{"a"}, w.seen.blame)
				require.Equal(t, "b", sum.Target.ID)
				w.requireNotReused(t, "a", e)
			})
		})
	}
}

// requireNotReused checks that the connection that a fault came on is never
// used again.
func (w *world) requireNotReused(t *testing.T, name string, e *fakeEngine) {
	t.Helper()
	synctest.Wait()
	before := w.net.dialed(name)
	orders := e.cancels()
	a, _, err := w.chat(context.Background())
	require.NoError(t, err)
	requireWhole(t, a)
	require.Equal(t, before+1, w.net.dialed(name), "the connection was used again")
	require.Equal(t, orders, e.cancels())
}

func TestFaultAloneEndsWithAnError(t *testing.T) {
	for _, f := range streamFaults {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, Settings{})
				defer w.close()
				w.engine("a", f.run)
				a, sum, err := w.chat(context.Background())
				refusal := failure.AsRefusal(err)
				require.Equal(t, failure.Unknown, refusal.Outcome)
				require.False(t, a.done)
				require.Equal(t, text(uint64(a.chunks)), a.text)
				require.Equal(t, a.chunks > 0, sum.ResponseStarted)
				if a.chunks > 0 {
					require.Equal(t, string(failure.CodeIncompleteResponse), a.failed)
				}
			})
		})
	}
}

func TestRepeatedChunkIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		w.engine("a", func(w *engineWriter) {
			w.chunks(faultAt)
			w.chunk(w.id, faultAt-1)
			w.chunk(w.id, 0)
			w.resume(faultAt)
		})
		a, _, err := w.chat(context.Background())
		require.NoError(t, err)
		requireWhole(t, a)
		require.Equal(t, []ResultKind{ResultOK}, w.seen.kinds)
	})
}

func TestRepeatsAreNoProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		w.engine("a", func(w *engineWriter) {
			w.chunks(faultAt)
			for w.ctx.Err() == nil {
				w.chunk(w.id, faultAt-1)
				w.raw(": still here\n\n")
				time.Sleep(time.Second)
			}
		}, whole)
		start := time.Now()
		a, _, err := w.chat(context.Background())
		require.NoError(t, err)
		requireWhole(t, a)
		require.Equal(t, []ResultKind{ResultConnSilent, ResultOK}, w.seen.kinds)
		require.Less(t, time.Since(start), DefaultNextTokenTimeout+time.Second)
	})
}

func TestStatusesOfRefusal(t *testing.T) {
	cases := []struct {
		status  int
		want    ResultKind
		code    failure.Code
		outcome failure.Outcome
	}{
		{http.StatusTooManyRequests, ResultBusy, failure.CodeOverloaded, failure.NotRun},
		{http.StatusServiceUnavailable, ResultBusy, failure.CodeOverloaded, failure.NotRun},
		{http.StatusBadRequest, ResultRejected, failure.CodeBadRequest, failure.NotRun},
		{http.StatusInternalServerError, ResultBadStatus, failure.CodeEndpointFailed, failure.Unknown},
	}
	for _, c := range cases {
		t.Run(http.StatusText(c.status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, Settings{MaxAttempts: 1})
				defer w.close()
				w.engine("a", func(w *engineWriter) { w.WriteHeader(c.status) })
				_, sum, err := w.chat(context.Background())
				require.Equal(t, []ResultKind{c.want}, w.seen.kinds)
				refusal := failure.AsRefusal(err)
				require.Equal(t, c.code, refusal.Code)
				require.Equal(t, c.outcome, refusal.Outcome)
				require.False(t, sum.ResponseStarted)
			})
		})
	}
}

// TestRefusalOfAnotherGateway checks that another gateway's word on the
// outcome decides, not its status.
func TestRefusalOfAnotherGateway(t *testing.T) {
	cases := []struct {
		refusal *failure.Refusal
		want    ResultKind
		outcome failure.Outcome
	}{
		{failure.Refuse(failure.CodeResidencyNotPermitted, ""), ResultBusy, failure.NotRun},
		{failure.Refuse(failure.CodeForwardingLoop, ""), ResultBusy, failure.NotRun},
		{failure.Refuse(failure.CodeDeadlineExceeded, ""), ResultBusy, failure.NotRun},
		{failure.Refuse(failure.CodeBadRequest, ""), ResultRejected, failure.NotRun},
		{failure.New(failure.CodeOverloaded, failure.Unknown, ""), ResultBadStatus, failure.Unknown},
		{failure.New(failure.CodeResidencyNotPermitted, "", ""), ResultBadStatus, failure.Unknown},
	}
	for _, c := range cases {
		t.Run(c.refusal.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, Settings{MaxAttempts: 1})
				defer w.close()
				w.engine("a", func(w *engineWriter) {
					w.WriteHeader(c.refusal.Status())
					_ = json.NewEncoder(w).Encode(errorBody{Error: newErrorDetail(c.refusal, "req-1")})
				})
				w.route = &PeerRoute{Prepare: func(*http.Request, []byte) {}}
				_, _, err := w.chat(context.Background())
				require.Equal(t, []ResultKind{c.want}, w.seen.kinds)
				require.Equal(t, c.outcome, failure.AsRefusal(err).Outcome)
			})
		})
	}
}

// TestResumeForAnotherGateway checks that a gateway which goes on with an
// answer sends only the rest, under the numbers of the whole.
func TestResumeForAnotherGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, Settings{})
		defer w.close()
		w.engine("a", func(w *engineWriter) { w.chunks(faultAt + 2) })
		b := w.engine("b", whole)
		rec := httptest.NewRecorder()
		req := ChatRequest{RequestID: "req-1", Body: chatBody, Resume: &Resume{NextSeq: faultAt, Text: text(faultAt)}}
		_, err := w.relay.Chat(context.Background(), req, w.pick, NewSSESink(rec, SSEOptions{ChunkID: "req-1"}))
		require.NoError(t, err)
		require.Equal(t, &Resume{NextSeq: faultAt + 2, Text: text(faultAt + 2)}, b.resumes[0])
		got := answer{chunks: faultAt}
		for event := range strings.SplitSeq(rec.Body.String(), "\n\n") {
			if data, ok := strings.CutPrefix(event, "data: {"); ok {
				got.add(t, "{"+data)
			}
		}
		require.Equal(t, text(answerLength), text(faultAt)+got.text)
	})
}
