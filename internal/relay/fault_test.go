package relay

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// faultSeq is the number of the chunk at which the faults below occur.
const faultSeq = 3

// streamFaults are faults that end an attempt: what the endpoint does, and the
// result expected.
var streamFaults = []struct {
	name string
	run  script
	want ResultKind
}{
	{"chunk of another attempt", func(w *engineWriter) { w.writeChunks(faultSeq); w.writeChunk("other", faultSeq); w.writeRest(faultSeq) }, ResultMismatched},
	{"late chunk of the previous attempt", func(w *engineWriter) { w.writeChunks(faultSeq); w.writeChunk("attempt-0", 1); w.writeRest(faultSeq) }, ResultMismatched},
	{"header of another attempt", func(w *engineWriter) { w.Header().Set(HeaderAttemptID, "other"); completeResponse(w) }, ResultMismatched},
	{"last chunk of another attempt", func(w *engineWriter) {
		w.writeChunks(responseTokens)
		w.attemptID = "other"
		w.writeLastChunk(responseTokens)
		w.writeDone()
	}, ResultMismatched},
	{"header without attempt id", func(w *engineWriter) { w.Header().Del(HeaderAttemptID); completeResponse(w) }, ResultMismatched},
	{"missing chunk", func(w *engineWriter) { w.writeChunks(faultSeq); w.writeRest(faultSeq + 1) }, ResultMissingChunk},
	{"missing last chunk", func(w *engineWriter) {
		w.writeChunks(responseTokens - 1)
		w.writeLastChunk(responseTokens)
		w.writeDone()
	}, ResultMissingChunk},
	{"chunk after the last one", func(w *engineWriter) {
		w.writeChunks(faultSeq)
		w.writeLastChunk(faultSeq)
		w.writeChunk(w.attemptID, faultSeq+1)
		w.writeDone()
	}, ResultMissingChunk},
	{"body ends early", func(w *engineWriter) { w.writeChunks(faultSeq) }, ResultTruncated},
	{"body ends within a chunk", func(w *engineWriter) { w.writeChunks(faultSeq); w.writef("data: {\"id\":%q,\"seq\":3", w.attemptID) }, ResultTruncated},
	{"chunk without line end", func(w *engineWriter) {
		w.writeChunks(faultSeq)
		w.writef("data: {\"id\":%q,\"seq\":3,\"choices\":[{\"delta\":{\"content\":\"t3 \"}}]}", w.attemptID)
	}, ResultTruncated},
	{"connection closed", func(w *engineWriter) { w.writeChunks(faultSeq); panic(http.ErrAbortHandler) }, ResultTruncated},
	{"no end marker", func(w *engineWriter) { w.writeChunks(responseTokens); w.writeLastChunk(responseTokens) }, ResultTruncated},
	{"end marker without line end", func(w *engineWriter) {
		w.writeChunks(responseTokens)
		w.writeLastChunk(responseTokens)
		w.writef("data: [DONE]")
	}, ResultTruncated},
	{"error event", func(w *engineWriter) {
		w.writeChunks(faultSeq)
		w.writef("event: error\ndata: {\"error\":{\"message\":\"x\"}}\n\n")
	}, ResultTruncated},
	{"error object", func(w *engineWriter) { w.writeChunks(faultSeq); w.writef("data: {\"error\":{\"message\":\"x\"}}\n\n") }, ResultTruncated},
	{"end marker too early", func(w *engineWriter) { w.writeChunks(faultSeq); w.writeDone() }, ResultMalformed},
	{"invalid JSON", func(w *engineWriter) {
		w.writeChunks(faultSeq)
		w.writef("data: {\"id\":%q,\"seq\":3,\n\n", w.attemptID)
	}, ResultMalformed},
	{"duplicate id field", func(w *engineWriter) {
		w.writeChunks(faultSeq)
		w.writef("data: {\"id\":%q,\"id\":\"x\",\"seq\":3}\n\n", w.attemptID)
	}, ResultMalformed},
	{"no seq", func(w *engineWriter) { w.writeChunks(faultSeq); w.writef("data: {\"id\":%q}\n\n", w.attemptID) }, ResultMalformed},
	{"fractional seq", func(w *engineWriter) {
		w.writeChunks(faultSeq)
		w.writef("data: {\"id\":%q,\"seq\":3.5}\n\n", w.attemptID)
	}, ResultMalformed},
	{"two choices", func(w *engineWriter) {
		w.writeChunks(faultSeq)
		w.writef("data: {\"id\":%q,\"seq\":3,\"choices\":[{},{}]}\n\n", w.attemptID)
	}, ResultMalformed},
	{"line without end", func(w *engineWriter) {
		w.writeChunks(faultSeq)
		w.writef("data: %s", strings.Repeat("x", 2*DefaultMaxLineBytes))
	}, ResultMalformed},
	{"status 500", func(w *engineWriter) { w.WriteHeader(http.StatusInternalServerError) }, ResultBadStatus},
	{"status 502 from a proxy", func(w *engineWriter) {
		w.Header().Del(HeaderAttemptID)
		w.WriteHeader(http.StatusBadGateway)
	}, ResultBadStatus},
	{"status 503 without an attempt id", func(w *engineWriter) {
		w.Header().Del(HeaderAttemptID)
		w.WriteHeader(http.StatusServiceUnavailable)
	}, ResultBadStatus},
	{"status 302", func(w *engineWriter) { w.Header().Set("Location", "/x"); w.WriteHeader(http.StatusFound) }, ResultBadStatus},
}

// writeRest sends the response from chunk seq to its end marker.
func (w *engineWriter) writeRest(seq uint64) {
	w.nextSeq = seq
	completeResponse(w)
}

func TestFaultIsResumedElsewhere(t *testing.T) {
	for _, f := range streamFaults {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestbed(t, Settings{})
				defer w.close()
				e := w.addEngine("a", f.run, completeResponse)
				w.addEngine("b", completeResponse)
				got, sum, err := w.chat(context.Background())
				require.NoError(t, err)
				requireComplete(t, got)
				require.Equal(t, []ResultKind{f.want, ResultOK}, w.observer.resultKinds)
				require.Equal(t, []string{"a"}, w.observer.faultyTargets)
				require.Equal(t, "b", sum.Target.ID)
				w.requireNotReused(t, "a", e)
			})
		})
	}
}

// requireNotReused checks that the connection on which a fault occurred is not
// reused.
func (w *testbed) requireNotReused(t *testing.T, name string, e *fakeEngine) {
	t.Helper()
	synctest.Wait()
	dialsBefore := w.net.dialCount(name)
	cancelsBefore := e.cancelCount()
	got, _, err := w.chat(context.Background())
	require.NoError(t, err)
	requireComplete(t, got)
	require.Equal(t, dialsBefore+1, w.net.dialCount(name), "the connection was reused")
	require.Equal(t, cancelsBefore, e.cancelCount())
}

func TestFaultAloneEndsWithAnError(t *testing.T) {
	for _, f := range streamFaults {
		t.Run(f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestbed(t, Settings{})
				defer w.close()
				w.addEngine("a", f.run)
				got, sum, err := w.chat(context.Background())
				refusal := failure.AsRefusal(err)
				require.Equal(t, failure.Unknown, refusal.Outcome)
				require.False(t, got.done)
				require.Equal(t, firstTokens(uint64(got.chunks)), got.text)
				require.Equal(t, got.chunks > 0, sum.ResponseStarted)
				if got.chunks > 0 {
					require.Equal(t, string(failure.CodeIncompleteResponse), got.errorCode)
				}
			})
		})
	}
}

func TestRepeatedChunkIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		w.addEngine("a", func(w *engineWriter) {
			w.writeChunks(faultSeq)
			w.writeChunk(w.attemptID, faultSeq-1)
			w.writeChunk(w.attemptID, 0)
			w.writeRest(faultSeq)
		})
		got, _, err := w.chat(context.Background())
		require.NoError(t, err)
		requireComplete(t, got)
		require.Equal(t, []ResultKind{ResultOK}, w.observer.resultKinds)
	})
}

func TestDuplicateChunksDoNotExtendTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		w.addEngine("a", func(w *engineWriter) {
			w.writeChunks(faultSeq)
			for w.ctx.Err() == nil {
				w.writeChunk(w.attemptID, faultSeq-1)
				w.writef(": still here\n\n")
				time.Sleep(time.Second)
			}
		}, completeResponse)
		start := time.Now()
		got, _, err := w.chat(context.Background())
		require.NoError(t, err)
		requireComplete(t, got)
		require.Equal(t, []ResultKind{ResultConnSilent, ResultOK}, w.observer.resultKinds)
		require.Less(t, time.Since(start), DefaultNextTokenTimeout+time.Second)
	})
}

func TestErrorStatusSetsCodeAndOutcome(t *testing.T) {
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
				w := newTestbed(t, Settings{MaxAttempts: 1})
				defer w.close()
				w.addEngine("a", func(w *engineWriter) { w.WriteHeader(c.status) })
				_, sum, err := w.chat(context.Background())
				require.Equal(t, []ResultKind{c.want}, w.observer.resultKinds)
				refusal := failure.AsRefusal(err)
				require.Equal(t, c.code, refusal.Code)
				require.Equal(t, c.outcome, refusal.Outcome)
				require.False(t, sum.ResponseStarted)
			})
		})
	}
}

// TestOutcomeOfAnotherGatewayDecidesResult checks that the outcome in another
// gateway's error response decides the result, not the status.
func TestOutcomeOfAnotherGatewayDecidesResult(t *testing.T) {
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
				w := newTestbed(t, Settings{MaxAttempts: 1})
				defer w.close()
				w.addEngine("a", func(w *engineWriter) {
					w.WriteHeader(c.refusal.Status())
					_ = json.NewEncoder(w).Encode(errorBody{Error: newErrorDetail(c.refusal, "req-1")})
				})
				w.peerRoute = &PeerRoute{Prepare: func(*http.Request, []byte) {}}
				_, _, err := w.chat(context.Background())
				require.Equal(t, []ResultKind{c.want}, w.observer.resultKinds)
				require.Equal(t, c.outcome, failure.AsRefusal(err).Outcome)
			})
		})
	}
}

// TestRefusalBeforeReadingIsNotRun guards against chats that fail with an unknown outcome
// because another gateway had no room for the connection. An endpoint's word doesn't count.
func TestRefusalBeforeReadingIsNotRun(t *testing.T) {
	refuse := func(w *engineWriter) {
		w.Header().Del(HeaderAttemptID)
		maps.Copy(w.Header(), NotRunHeader())
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	for peer, want := range map[*PeerRoute]ResultKind{{Prepare: func(*http.Request, []byte) {}}: ResultBusy, nil: ResultBadStatus} {
		synctest.Test(t, func(t *testing.T) {
			w := newTestbed(t, Settings{MaxAttempts: 1})
			defer w.close()
			w.addEngine("a", refuse)
			w.peerRoute = peer
			_, _, err := w.chat(context.Background())
			require.Equal(t, []ResultKind{want}, w.observer.resultKinds)
			require.Equal(t, want == ResultBusy, failure.AsRefusal(err).Outcome == failure.NotRun)
		})
	}
}

// TestResumeForAnotherGatewaySendsTheRestOnly checks that a gateway which resumes
// a response sends only the rest, with the chunk numbers of the complete
// response.
func TestResumeForAnotherGatewaySendsTheRestOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, Settings{})
		defer w.close()
		w.addEngine("a", func(w *engineWriter) { w.writeChunks(faultSeq + 2) })
		b := w.addEngine("b", completeResponse)
		rec := httptest.NewRecorder()
		req := ChatRequest{RequestID: "req-1", Body: chatBody, Resume: &Resume{NextSeq: faultSeq, Text: firstTokens(faultSeq)}}
		_, err := w.relay.Chat(context.Background(), req, w.pick, NewSSESink(rec, SSEOptions{ChunkID: "req-1"}))
		require.NoError(t, err)
		require.Equal(t, &Resume{NextSeq: faultSeq + 2, Text: firstTokens(faultSeq + 2)}, b.resumes[0])
		got := receivedStream{chunks: faultSeq}
		for event := range strings.SplitSeq(rec.Body.String(), "\n\n") {
			if data, ok := strings.CutPrefix(event, "data: {"); ok {
				got.addChunk(t, "{"+data)
			}
		}
		require.Equal(t, firstTokens(responseTokens), firstTokens(faultSeq)+got.text)
	})
}
