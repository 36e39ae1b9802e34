package edge

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/exchange"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/transport"
)

// session is one request over all its attempts.
type session struct {
	edge    *Edge
	w       http.ResponseWriter
	method  string
	target  string
	host    string
	header  http.Header
	body    []byte
	arrived time.Time

	table    *route.Table
	route    *route.Route
	req      exchange.Request
	deadline time.Time

	tried      map[string]bool
	attempts   int
	mayHaveRun bool
	started    bool
}

func (s *session) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	s.tried = make(map[string]bool)
	svc := s.service()
	for {
		b, ok := s.pick(svc.Name)
		if !ok {
			s.end(ctx, failure.Refuse(failure.CodeNoEndpoint, "no endpoint").WithRetryAfter(200*time.Millisecond))
			return
		}
		again, err := s.attempt(ctx, b)
		if err == nil {
			return
		}
		s.edge.Logger.Info("attempt failed", "request", s.req.ID, "route", s.route.Name, "endpoint", b.ID, "err", err)
		s.tried[b.ID] = true
		if !again || s.attempts >= s.route.MaxAttempts || ctx.Err() != nil {
			s.end(ctx, err)
			return
		}
	}
}

func (s *session) pick(service string) (fleet.Belief, bool) {
	var best fleet.Belief
	bestScore, found := 0, false
	for _, b := range s.edge.Registry.Usable(service, time.Now()) {
		if s.tried[b.ID] {
			continue
		}
		score := s.edge.ledger.get(b.ID)
		if !found || score < bestScore || score == bestScore && rendezvous.Weight(s.req.ID, b.ID) > rendezvous.Weight(s.req.ID, best.ID) {
			best, bestScore, found = b, score, true
		}
	}
	return best, found
}

func (s *session) attempt(ctx context.Context, b fleet.Belief) (again bool, err error) {
	s.edge.ledger.add(b.ID, 1)
	defer s.edge.ledger.add(b.ID, -1)
	header := s.header.Clone()
	exchange.StripHopByHop(header)
	s.edge.Codec.WriteAttempt(header, exchange.Attempt{
		Endpoint:  b.ID,
		Remaining: time.Until(s.deadline),
		Urgency:   min(s.route.Priority, 9),
	})
	resp, err := s.edge.Near.Do(ctx, transport.Call{
		Address: b.Address, Method: s.method, Target: s.target, Host: s.host,
		Header: header, Body: s.body, Fresh: !s.route.Repeatable(),
	})
	var notSent *transport.NotSentError
	if errors.As(err, &notSent) {
		return true, err
	}
	s.attempts++
	if err != nil {
		s.mayHaveRun = true
		return s.route.Repeatable(), err
	}
	defer resp.Body.Close()
	a := s.edge.Codec.Answer(resp.Header)
	if a.NotRun || resp.StatusCode == http.StatusMisdirectedRequest {
		if resp.StatusCode == http.StatusMisdirectedRequest {
			s.edge.Registry.MarkMisplaced(b.ID, b.Incarnation)
		}
		return true, failure.Refuse(failure.CodeOverloaded, "endpoint did not run it: %d", resp.StatusCode).WithRetryAfter(300 * time.Millisecond)
	}
	s.mayHaveRun = true
	if a.ID != s.req.ID {
		return s.route.Repeatable(), failure.New(failure.CodeEndpointFailed, failure.Unknown, "answer of %q", a.ID)
	}
	if resp.StatusCode >= 500 && s.route.Repeatable() && s.attempts < s.route.MaxAttempts {
		return true, failure.New(failure.CodeEndpointFailed, failure.Unknown, "status %d", resp.StatusCode)
	}
	s.pass(resp)
	return false, nil
}

func (s *session) pass(resp *http.Response) {
	h := s.w.Header()
	for k, v := range resp.Header {
		h[k] = v
	}
	exchange.StripHopByHop(h)
	s.edge.Codec.CleanAnswer(h)
	s.w.WriteHeader(resp.StatusCode)
	rc := http.NewResponseController(s.w)
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, werr := s.w.Write(buf[:n]); werr != nil {
				panic(http.ErrAbortHandler)
			}
			if s.route.Kind == route.Streaming {
				_ = rc.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *session) end(ctx context.Context, err error) {
	if ctx.Err() == context.Canceled {
		return
	}
	refusal := failure.AsRefusal(err)
	if s.mayHaveRun {
		refusal = failure.New(failure.CodeEndpointFailed, failure.Unknown, "no answer").WithCause(err)
	}
	s.edge.refuse(s.w, nil, s, refusal)
}

func (e *Edge) refuse(w http.ResponseWriter, _ *http.Request, s *session, r *failure.Refusal) {
	refusals.Inc()
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	e.Logger.Info("refused", "request", s.req.ID, "code", r.Code, "outcome", r.Outcome, "err", r)
	w.WriteHeader(r.Status())
}
