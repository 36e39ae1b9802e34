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

// job is one attempt in work.
type job struct {
	id     string
	chat   relay.ParsedChat
	answer Completion
	from   int
	tokens tokenStream
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	j, err := s.accept(r)
	w.Header().Set(relay.HeaderAttemptID, j.id)
	if err != nil {
		refusal := failure.AsRefusal(err)
		http.Error(w, refusal.Message, refusal.Status())
		return
	}
	ctx, done := s.track(r.Context(), j.id)
	defer done()
	s.stats.begin(j.id, r.Header.Get(relay.HeaderRequestID), j.from, time.Now())
	whole := false
	defer func() { s.stats.end(j.id, whole) }()
	if j.chat.Stream {
		whole = s.stream(ctx, w, j)
	} else {
		whole = s.plain(ctx, w, j)
	}
	if !whole {
		s.drop(j.id)
		panic(http.ErrAbortHandler)
	}
}

// accept reads a request and starts its job.
func (s *Server) accept(r *http.Request) (*job, error) {
	j := &job{id: attemptID(r)}
	body, err := io.ReadAll(io.LimitReader(r.Body, relay.MaxBodyBytes+1))
	if err != nil {
		return j, failure.Refuse(failure.CodeBadRequest, "the body broke off").WithCause(err)
	}
	if j.chat, err = relay.ParseChat(body); err != nil {
		return j, err
	}
	length := j.chat.MaxTokens
	if length == 0 {
		length = s.cfg.OutputTokens
	}
	j.answer = NewCompletion(j.chat.Prompt, length)
	if err := j.resume(); err != nil {
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

// resume checks that what was already emitted is what this engine would have
// emitted.
func (j *job) resume() error {
	if j.chat.Resume == nil {
		return nil
	}
	next := j.chat.Resume.NextSeq
	if next > uint64(j.answer.TokenCount) || j.chat.Resume.Text != j.answer.Text(int(next)) {
		return failure.Refuse(failure.CodeBadRequest, "the text to resume from doesn't fit")
	}
	j.from = int(next)
	return nil
}

func (s *Server) submit(r *http.Request, j *job) error {
	priority, _ := strconv.Atoi(r.Header.Get(relay.HeaderPriority))
	left := j.answer.TokenCount - j.from
	if left == 0 {
		j.tokens = finished{}
		return nil
	}
	var ok bool
	j.tokens, ok = s.generator.submit(model.Job{
		ID:           j.id,
		Priority:     priority,
		PromptTokens: max(1, sched.EstimateTokens(len(j.chat.Prompt))+j.from),
		OutputTokens: left,
		Prefix:       sched.PrefixHashes(j.chat.Prompt),
		FirstSeq:     j.from,
	})
	if !ok {
		return failure.Refuse(failure.CodeBadRequest, "the request is too large for this engine")
	}
	return nil
}

// plain sends the whole answer as one document.
func (s *Server) plain(ctx context.Context, w http.ResponseWriter, j *job) bool {
	for {
		token, err := j.tokens.next(ctx)
		if err != nil {
			return false
		}
		if !token {
			break
		}
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(j.document()) == nil
}

// stream sends the answer token by token; false means that it isn't whole.
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, j *job) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := &chunkWriter{server: s, w: w, rc: http.NewResponseController(w), ctx: ctx, job: j}
	if out.rc.Flush() != nil {
		return false
	}
	for seq := j.from; ; seq++ {
		token, err := j.tokens.next(ctx)
		if err != nil {
			return false
		}
		err = out.chunk(seq, !token)
		if errors.Is(err, errEnded) {
			return true
		}
		if err != nil {
			return false
		}
		if !token {
			return out.done() == nil
		}
	}
}
