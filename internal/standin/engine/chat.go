package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/relay"
	"github.com/hickorystage/hickorystage/internal/sched"
	"github.com/hickorystage/hickorystage/internal/standin/model"
)

// job is one attempt of a chat request while it is served.
type job struct {
	id         string
	chat       relay.ParsedChat
	completion Completion
	// firstSeq is the number of the first token to send, above 0 for a resumed
	// stream.
	firstSeq int
	tokens   tokenStream
}

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	j, err := s.startJob(r)
	w.Header().Set(relay.HeaderAttemptID, j.id)
	if err != nil {
		refusal := failure.AsRefusal(err)
		http.Error(w, refusal.Message, refusal.Status())
		return
	}
	ctx, done := s.trackAttempt(r.Context(), j.id)
	defer done()
	s.stats.recordStart(j.id, r.Header.Get(relay.HeaderRequestID), j.firstSeq, time.Now())
	completed := false
	defer func() { s.stats.recordEnd(j.id, completed) }()
	if j.chat.Stream {
		completed = s.streamResponse(ctx, w, j)
	} else {
		completed = s.writeResponse(ctx, w, j)
	}
	if !completed {
		s.cancelAttempt(j.id)
		panic(http.ErrAbortHandler)
	}
}

// startJob reads a request and submits its job to the generator. The job isn't
// nil even with an error: its id is echoed in the response.
func (s *Server) startJob(r *http.Request) (*job, error) {
	j := &job{id: attemptID(r)}
	body, err := io.ReadAll(io.LimitReader(r.Body, relay.MaxBodyBytes+1))
	if err != nil {
		return j, failure.Refuse(failure.CodeBadRequest, "the body broke off").WithCause(err)
	}
	if j.chat, err = relay.ParseChat(body); err != nil {
		return j, err
	}
	tokenCount := j.chat.MaxTokens
	if tokenCount == 0 {
		tokenCount = s.cfg.OutputTokens
	}
	j.completion = NewCompletion(j.chat.Prompt, tokenCount)
	if err := j.validateResume(); err != nil {
		return j, err
	}
	return j, s.submit(r, j)
}

func attemptID(r *http.Request) string {
	if id := r.Header.Get(relay.HeaderAttemptID); id != "" {
		return id
	}
	return uuid.NewString()
}

// validateResume checks that the text which the caller already has is what this
// engine would have generated, and sets the first token to send.
func (j *job) validateResume() error {
	if j.chat.Resume == nil {
		return nil
	}
	nextSeq := j.chat.Resume.NextSeq
	if nextSeq > uint64(j.completion.TokenCount) || j.chat.Resume.Text != j.completion.Text(int(nextSeq)) {
		return failure.Refuse(failure.CodeBadRequest, "the text to resume from doesn't fit")
	}
	j.firstSeq = int(nextSeq)
	return nil
}

func (s *Server) submit(r *http.Request, j *job) error {
	priority, _ := strconv.Atoi(r.Header.Get(relay.HeaderPriority))
	remaining := j.completion.TokenCount - j.firstSeq
	if remaining == 0 {
		j.tokens = emptyStream{}
		return nil
	}
	var ok bool
	j.tokens, ok = s.generator.submit(model.Job{
		ID:           j.id,
		Priority:     priority,
		PromptTokens: max(1, sched.EstimateTokens(len(j.chat.Prompt))+j.firstSeq),
		OutputTokens: remaining,
		Prefix:       sched.PrefixHashes(j.chat.Prompt),
		FirstSeq:     j.firstSeq,
	})
	if !ok {
		return failure.Refuse(failure.CodeBadRequest, "the request is too large for this engine")
	}
	return nil
}

// writeResponse sends the whole completion as one JSON document. It reports
// whether the response was sent completely.
func (s *Server) writeResponse(ctx context.Context, w http.ResponseWriter, j *job) bool {
	for {
		more, err := j.tokens.next(ctx)
		if err != nil {
			return false
		}
		if !more {
			break
		}
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(j.chatCompletion()) == nil
}

// streamResponse sends the completion token by token. It reports whether the
// response ended in good order, which includes an end that a fault forged.
func (s *Server) streamResponse(ctx context.Context, w http.ResponseWriter, j *job) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := &chunkWriter{server: s, w: w, rc: http.NewResponseController(w), ctx: ctx, job: j}
	if out.rc.Flush() != nil {
		return false
	}
	for seq := j.firstSeq; ; seq++ {
		more, err := j.tokens.next(ctx)
		if err != nil {
			return false
		}
		err = out.writeChunk(seq, !more)
		if errors.Is(err, errEndedEarly) {
			return true
		}
		if err != nil {
			return false
		}
		if !more {
			return out.writeDone() == nil
		}
	}
}
