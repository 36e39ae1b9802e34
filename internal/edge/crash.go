package edge

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/quarantine"
)

// requestKey returns the key under which this request and its repeats are tracked. Its body has
// to be whole.
func (s *session) requestKey() quarantine.Key {
	r := quarantine.Request{Service: s.service.Name, Account: s.accountName(), Method: s.method, Target: s.target, Body: s.body.parts}
	if p := s.req.Prompt; p != nil {
		for _, segment := range p.Segments {
			r.Segments = append(r.Segments, segment.ID)
		}
	}
	return quarantine.HashRequest(r)
}

// quarantineRefusal returns the refusal of a request that crashes endpoints, or whose prompt
// holds a segment that does; nil for any other.
func (s *session) quarantineRefusal() *failure.Refusal {
	now := time.Now()
	if segment, remaining, held := s.edge.Quarantine.Find(s.sharedSegments, now); held {
		promptsHeld.Inc()
		return failure.Refuse(failure.CodePromptHeld, "segment %s of the prompt crashes endpoints", segment).WithRetryAfter(remaining)
	}
	if key, remaining, held := s.edge.RequestQuarantine.Find(s.requestKeys, now); held {
		requestsHeld.Inc()
		return failure.Refuse(failure.CodeRequestHeld, "request %s crashes endpoints", key).WithRetryAfter(remaining)
	}
	return nil
}

// checkCrash finds out whether the endpoint of a broken response has ended, or only the
// connection. The request, or what the endpoint's requests have in common, may have been the
// cause.
func (a *attempt) checkCrash(ctx context.Context, err error) {
	var mismatch *ResponseMismatchError
	var invalid *StreamError
	if a.gateway != nil || errors.As(err, &mismatch) || errors.As(err, &invalid) {
		return
	}
	if !a.edge.EndpointTransport.IsRefused(ctx, a.endpoint.Address) {
		return
	}
	now := time.Now()
	crashesSeen.Inc()
	a.markUnreachable(a.endpoint, true)
	if len(a.sharedSegments) > 0 {
		a.edge.Quarantine.RecordCrash(a.sharedSegments, a.incarnationHash(), a.sentAt, now)
	}
	a.edge.RequestQuarantine.RecordCrash(a.requestKeys, a.incarnationHash(), a.sentAt, now)
	a.log("endpoint_crashed", "endpoint", a.endpoint.ID, "segments", a.sharedSegments, "keys", a.requestKeys)
}

// incarnationHash identifies the endpoint's incarnation among those of all regions.
func (a *attempt) incarnationHash() uint64 {
	return xxhash.Sum64String(a.endpoint.ID + " " + strconv.FormatInt(a.endpoint.Incarnation, 10))
}

// provenAfter is the time after the first event of a stream from which on the endpoint
// has shown that beginning the response didn't crash it.
const provenAfter = time.Second

// recordCompletion records a complete response of the endpoint, which shows that neither the
// request nor, if it was served, the segments of its prompt crash it. A response without a
// length whose endpoint crashes looks complete and shows nothing.
func (a *attempt) recordCompletion(resp *http.Response) {
	isFramed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	switch {
	case a.gateway != nil || !isFramed:
	case resp.StatusCode < http.StatusMultipleChoices:
		a.recordProven(time.Now())
	default:
		a.edge.RequestQuarantine.RecordCompletion(a.requestKeys, time.Now())
	}
}

// recordProven records that the endpoint runs the request and lives.
func (a *attempt) recordProven(now time.Time) {
	if len(a.sharedSegments) > 0 {
		a.edge.Quarantine.RecordCompletion(a.sharedSegments, now)
	}
	a.edge.RequestQuarantine.RecordCompletion(a.requestKeys, now)
}
