package edge

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"time"

	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/route"
)

// Headers between gateways.
const (
	// headerForward marks a request as forwarded; its value is a forwardInfo.
	headerForward = "X-Gateway-Forward"
	// headerOutcome marks a response as made by the gateway itself, not by an
	// endpoint; its value is the failure.Outcome of the request.
	headerOutcome = "X-Gateway-Outcome"
	// headerReachedEndpoint says whether an endpoint may have received a request that the
	// gateway refuses: "true" or "false".
	headerReachedEndpoint = "X-Gateway-Reached-Endpoint"
	// headerSoftwareVersion is the software version of the endpoint whose stream a gateway
	// relays to another one.
	headerSoftwareVersion = "X-Gateway-Software-Version"
)

// NotRunHeader returns the header of responses to requests of other gateways that were
// refused before they were read.
func NotRunHeader() http.Header {
	return http.Header{headerOutcome: {string(failure.NotRun)}, headerReachedEndpoint: {"false"}}
}

// forwardInfo is what a gateway tells the gateway of another region about a request
// that it forwards.
type forwardInfo struct {
	// From is the id of the forwarding gateway.
	From string `json:"from"`
	// Service is the service that the forwarding gateway chose, Version the version
	// of its configuration.
	Service string `json:"service"`
	Version uint64 `json:"version"`
	// RemainingMillis is the time left until the deadline, ObjectiveMillis the time
	// left until the response misses the latency objective; it may be negative.
	RemainingMillis int64 `json:"remaining_ms"`
	ObjectiveMillis int64 `json:"objective_ms"`
	// LastEventID is the event after which a broken stream resumes; empty otherwise.
	LastEventID string `json:"last_event,omitempty"`
	// SoftwareVersion is the only version whose endpoints may run the request; empty for any.
	SoftwareVersion string `json:"software_version,omitempty"`
	// Account is the name of the caller's account and KeyDigest the hex digest of its
	// key. They are empty if the request has no account.
	Account   string `json:"account,omitempty"`
	KeyDigest string `json:"key,omitempty"`
}

// writeForwardHeader marks the request as forwarded.
func (a *attempt) writeForwardHeader(h http.Header) {
	now := time.Now()
	info := forwardInfo{
		From:            a.edge.Gateways.Self().ID,
		Service:         a.service.Name,
		Version:         a.table.Version,
		RemainingMillis: a.deadline.Sub(now).Milliseconds(),
		ObjectiveMillis: a.arrived.Add(a.route.Objective).Sub(now).Milliseconds(),
		LastEventID:     a.resumeEventID(),
		SoftwareVersion: a.stream.version,
	}
	if info.Account = a.accountName(); info.Account != "" {
		info.KeyDigest = a.keyDigest.String()
	}
	value, err := json.Marshal(info)
	if err != nil {
		a.edge.Logger.Error("cannot encode the forward header", "err", err)
		return
	}
	h.Set(headerForward, string(value))
}

// handleRemoteRefusal handles a response that the other gateway made itself. Its
// region is not tried again; the request is, unless it may have run and must not
// run twice. An attempt counts unless the other gateway says that it reached no endpoint;
// one of an earlier build doesn't say.
func (a *attempt) handleRemoteRefusal(resp *http.Response) (outcome, endpointload.Result) {
	reported := failure.Outcome(resp.Header.Get(headerOutcome))
	reached := resp.Header.Get(headerReachedEndpoint) != "false"
	a.log("refused_there", "gateway", a.gateway.ID, "region", a.endpoint.Region, "outcome", reported, "reached", reached, "status", resp.StatusCode)
	a.tried[regionKey(a.endpoint.Region)] = true
	if reported == failure.NotRun && resp.StatusCode == http.StatusUnauthorized {
		return outcome{refusal: failure.Refuse(failure.CodeUnauthorized, "the key is unknown to a gateway with a newer configuration")}, endpointload.Shed
	}
	if reported == failure.NotRun {
		retryAfter, _ := httpmeta.RetryAfter(resp.Header)
		refusal := failure.Refuse(failure.CodeOverloaded, "refused by a gateway of another region").
			WithRetryAfter(max(retryAfter, shortRetryDelay))
		if reached {
			a.attempts++
		}
		return outcome{mayRetry: true, countsAsRetry: reached, refusal: refusal}, endpointload.Shed
	}
	a.attempts++
	a.setMayHaveRun()
	refusal := failure.New(failure.CodeEndpointFailed, failure.Unknown, "no complete response from another region")
	if !a.route.IsIdempotent() {
		return outcome{refusal: refusal}, endpointload.Failed
	}
	return a.retryOutcome(refusal), endpointload.Failed
}

// PeerHandler returns the handler of the listener for other gateways. Requests
// without the forward header go to other.
func (e *Edge) PeerHandler(other http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerForward) == "" {
			other.ServeHTTP(w, r)
			return
		}
		e.serveForwarded(w, r)
	})
}

func (e *Edge) serveForwarded(w http.ResponseWriter, r *http.Request) {
	arrived := e.arrivalTime(time.Now())
	var info forwardInfo
	if err := json.Unmarshal([]byte(r.Header.Get(headerForward)), &info); err != nil {
		// Without the outcome the forwarding gateway would take the request for one that
		// may have run.
		maps.Copy(w.Header(), NotRunHeader())
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.inFlight.Begin()
	defer e.inFlight.End()
	forwardsReceived.Inc()
	s, err := e.openForwardedSession(w, r, &info, arrived)
	defer s.releaseBody()
	if err != nil {
		e.refuse(s, failure.AsRefusal(err))
		return
	}
	ctx, cancel := e.stopping.withInterrupt(r.Context())
	defer cancel()
	s.run(ctx)
}

// newerConfigWait is how long a forwarded request may wait for the configuration that it was
// forwarded under: a round trip between regions and a fetch within the region.
const newerConfigWait = 300 * time.Millisecond

// adoptForwarded brings the configuration into force that a request was forwarded under, if
// that is newer and sends the request to another service. It gives up after newerConfigWait.
func (e *Edge) adoptForwarded(ctx context.Context, r *http.Request, attemptID string, info *forwardInfo) {
	table, changed := e.Board.Routes.Watch()
	if table == nil || e.Configs == nil || info.Version <= table.Version || servesAs(table, r, attemptID, info.Service) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, newerConfigWait)
	defer cancel()
	// The store reader of this region is nearer, and mostly has it already.
	for _, gateway := range []string{e.Gateways.StoreReader(time.Now()), info.From} {
		if gateway == e.Gateways.Self().ID {
			continue
		}
		if e.Configs.Fetch(ctx, gateway, info.Version) && e.Board.Routes.Get().Version >= info.Version {
			return
		}
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-changed:
		}
		if table, changed = e.Board.Routes.Watch(); table.Version >= info.Version {
			return
		}
	}
}

// servesAs reports whether a configuration sends the request to the service.
func servesAs(table *route.Table, r *http.Request, attemptID, service string) bool {
	matched := table.Match(r.Host, r.URL.Path)
	return matched != nil && matched.SelectService(attemptID) == service
}

// openForwardedSession is openSession for a request that another gateway forwarded.
// Its route and home regions are checked against the configuration of this gateway
// too: while the configurations differ, the stricter of the two applies. If they
// choose different services, the request is refused as not run.
func (e *Edge) openForwardedSession(w http.ResponseWriter, r *http.Request, info *forwardInfo, arrived time.Time) (*session, error) {
	r.Header.Del(headerForward)
	s := e.newSession(w, r, arrived)
	s.forwarded = info
	e.adoptForwarded(r.Context(), r, s.req.AttemptID, info)
	if err := s.match(r); err != nil {
		return s, err
	}
	if !s.permits(e.Gateways.Self().Region) {
		return s, failure.Refuse(failure.CodeResidencyNotPermitted, "the request may not be processed in this region")
	}
	if s.service.Name != info.Service {
		if info.Version < s.table.Version {
			return s, failure.Refuse(failure.CodeNotFound, "the request was forwarded under an older configuration")
		}
		// The next request of a caller here would be handled by the older one.
		forwardsNewer.Inc()
		return s, failure.Refuse(failure.CodeNotReady, "the request was forwarded under version %d of the configuration", info.Version).WithRetryAfter(shortRetryDelay)
	}
	s.deadline = arrived.Add(time.Duration(info.RemainingMillis) * time.Millisecond)
	s.arrived = arrived.Add(time.Duration(info.ObjectiveMillis)*time.Millisecond - s.route.Objective)
	if info.LastEventID != "" {
		s.header.Set("Last-Event-Id", info.LastEventID)
	}
	s.stream.version = info.SoftwareVersion
	if err := s.overloadRefusal(); err != nil {
		return s, err
	}
	if err := s.readBody(r); err != nil {
		return s, err
	}
	s.requestKeys = []quarantine.Key{s.requestKey()}
	return s, e.refusalOfLate()
}
