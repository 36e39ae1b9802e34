package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/placement"
	"github.com/hickorystage/hickorystage/internal/route"
)

// session is one request over all its attempts.
type session struct {
	edge    *Edge
	w       http.ResponseWriter
	method  string
	target  string
	host    string
	path    string
	header  http.Header
	body    []byte
	arrived time.Time

	table    *route.Table
	route    *route.Route
	service  *route.Service
	req      httpmeta.Request
	deadline time.Time
	// fwd is set when a gateway of another region sent the request on.
	fwd *forward

	// parts are the prompt's parts with all before them; shared is the number
	// of tokens in all but the last.
	parts  []endpointload.Segment
	shared int
	// sharedHash is the hash of the last part but one with all before it.
	sharedHash uint64
	// meet identifies the requests that share all parts but the last.
	meet string

	// tried holds the endpoints, and the regions, that earlier attempts were
	// made at.
	tried map[string]bool
	// attempts counts the endpoints that the request was sent to.
	attempts int
	// mayHaveRun says that an endpoint may have run the request.
	mayHaveRun bool
	// stream is what the caller has been sent of a stream.
	stream streamState
}

// outcome is how one attempt ended.
type outcome struct {
	// done says that the caller has got the final answer, or has gone.
	done bool
	// elsewhere says that the request may be tried again.
	elsewhere bool
	// repeat says that another attempt counts as a repeat.
	repeat bool
	// refusal is what the caller is told if there is no other attempt.
	refusal *failure.Refusal
}

// run carries the request to its end.
func (s *session) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, s.deadline)
	defer cancel()
	s.tried = make(map[string]bool)
	s.edge.RetryBudget.RecordRequest(s.service.Name, time.Now())
	for {
		d, ok := s.place(ctx)
		if !ok && s.stream.started {
			// A region that refused may have room again.
			clear(s.tried)
		}
		if !ok && s.stream.started && pause(ctx, resumePause) {
			continue
		}
		if !ok {
			s.finish(ctx, s.refusalOf(d))
			return
		}
		out := s.attempt(ctx, d)
		if out.done {
			return
		}
		if !s.mayGoOn(ctx, out) {
			s.finish(ctx, out.refusal)
			return
		}
	}
}

// resumePause is the time between two looks for an endpoint that can go on with
// a stream that the caller has a part of.
const resumePause = 100 * time.Millisecond

// pause waits, and returns false if ctx ends before.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// mayGoOn says whether another attempt may follow one that failed.
func (s *session) mayGoOn(ctx context.Context, out outcome) bool {
	if !out.elsewhere || ctx.Err() != nil || s.fwd != nil && out.repeat {
		return false
	}
	if out.repeat {
		if s.attempts >= s.route.MaxAttempts {
			return false
		}
		now := time.Now()
		if !s.edge.RetryBudget.TrySpend(s.service.Name, s.edge.Gateways.CountRecent(now), now) {
			retriesDenied.Inc()
			s.log("retry_denied")
			return false
		}
	}
	return true
}

// refusalOf turns a decision against a request into what the caller is told.
func (s *session) refusalOf(d placement.Decision) *failure.Refusal {
	code := failure.CodeOverloaded
	if d.Reason == placement.NoEndpoint {
		code = failure.CodeNoEndpoint
	}
	return failure.Refuse(code, "%s", d.Reason).WithRetryAfter(d.RetryAfter)
}

// finish gives the caller the final answer of a request that failed.
func (s *session) finish(ctx context.Context, r *failure.Refusal) {
	if context.Cause(ctx) == context.Canceled {
		s.log("caller_gone")
		return
	}
	if s.stream.started {
		s.log("broken_off", "err", r)
		brokenOff.Inc()
		panic(http.ErrAbortHandler)
	}
	if s.mayHaveRun && r.Outcome == failure.NotRun {
		r = failure.New(failure.CodeEndpointFailed, failure.Unknown, "%s", r.Message)
	}
	if ctx.Err() != nil && r.Outcome != failure.NotRun {
		r = failure.New(failure.CodeDeadline, r.Outcome, "no answer in time")
	}
	s.edge.refuse(s, r)
}

// log writes one line about the request.
func (s *session) log(event string, more ...any) {
	fields := append([]any{"request", s.req.AttemptID, "route", s.routeName(), "ms", time.Since(s.arrived).Milliseconds()}, more...)
	s.edge.Logger.Info(event, fields...)
}

func (s *session) routeName() string {
	if s.route == nil {
		return ""
	}
	return s.route.Name
}
