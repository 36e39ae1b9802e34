package edge

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/failure"
)

// Headers between gateways.
const (
	// headerForward describes a request that is sent on.
	headerForward = "X-Gateway-Forward"
	// headerOutcome marks an answer as the gateway's own, and says what is
	// known of the request.
	headerOutcome = "X-Gateway-Outcome"
)

// forward describes a request that a gateway sends on to another region.
type forward struct {
	From string `json:"from"`
	// Service is the service that the sender's configuration names; Version is
	// that of the configuration.
	Service string `json:"service"`
	Version uint64 `json:"version"`
	// RemainingMillis is the time left until the deadline, ObjectiveMillis
	// that until the answer is late.
	RemainingMillis int64 `json:"remaining_ms"`
	ObjectiveMillis int64 `json:"objective_ms"`
	// LastEventID is where a broken stream goes on; empty otherwise.
	LastEventID string `json:"last_event,omitempty"`
}

// writeForward marks the request as sent on.
func (a *attempt) writeForward(h http.Header) {
	now := time.Now()
	f := forward{
		From:            a.edge.Gateways.Self().ID,
		Service:         a.service.Name,
		Version:         a.table.Version,
		RemainingMillis: a.deadline.Sub(now).Milliseconds(),
		ObjectiveMillis: a.arrived.Add(a.route.Objective).Sub(now).Milliseconds(),
		LastEventID:     a.resumeFrom(),
	}
	text, err := json.Marshal(f)
	if err != nil {
		a.edge.Logger.Error("forward not encoded", "err", err)
		return
	}
	h.Set(headerForward, string(text))
}

// refusedThere handles the other gateway's own answer.
func (a *attempt) refusedThere(resp *http.Response) (outcome, endpointload.Result) {
	said := failure.Outcome(resp.Header.Get(headerOutcome))
	a.log("refused_there", "gateway", a.gateway.ID, "region", a.endpoint.Region, "outcome", said, "status", resp.StatusCode)
	a.tried[regionKey(a.endpoint.Region)] = true
	if said == failure.NotRun {
		wait, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		refusal := failure.Refuse(failure.CodeOverloaded, "refused in another region").
			WithRetryAfter(max(time.Duration(wait*float64(time.Second)), soonRetry))
		return outcome{elsewhere: true, refusal: refusal}, endpointload.Shed
	}
	a.attempts++
	a.mayHaveRun = true
	refusal := failure.New(failure.CodeEndpointFailed, failure.Unknown, "no whole answer in another region")
	if !a.route.Repeatable() {
		return outcome{refusal: refusal}, endpointload.Failed
	}
	return a.again(refusal), endpointload.Failed
}

// PeerHandler returns the handler of the listener for other gateways. Requests
// that are not sent on go to fetches.
func (e *Edge) PeerHandler(fetches http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerForward) == "" {
			fetches.ServeHTTP(w, r)
			return
		}
		e.serveForwarded(w, r)
	})
}

func (e *Edge) serveForwarded(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var f forward
	if err := json.Unmarshal([]byte(r.Header.Get(headerForward)), &f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.inFlight.Begin()
	defer e.inFlight.End()
	received.Inc()
	s, err := e.openForwarded(w, r, &f, arrived)
	if err != nil {
		e.refuse(s, failure.AsRefusal(err))
		return
	}
	s.run(r.Context())
}

// openForwarded reads a request that another gateway sent on. Its route and
// residency are checked here too; the stricter of both gateways decides.
func (e *Edge) openForwarded(w http.ResponseWriter, r *http.Request, f *forward, arrived time.Time) (*session, error) {
	r.Header.Del(headerForward)
	s := e.newSession(w, r, arrived)
	s.fwd = f
	if err := s.match(r); err != nil {
		return s, err
	}
	if !s.route.Permits(e.Gateways.Self().Region) {
		return s, failure.Refuse(failure.CodeResidency, "this region may not process the request")
	}
	if s.service.Name != f.Service {
		if f.Version < s.table.Version {
			return s, failure.Refuse(failure.CodeNotFound, "the configuration here is newer")
		}
		s.service = s.serviceNamed(f.Service)
	}
	s.deadline = arrived.Add(time.Duration(f.RemainingMillis) * time.Millisecond)
	s.arrived = arrived.Add(time.Duration(f.ObjectiveMillis)*time.Millisecond - s.route.Objective)
	if f.LastEventID != "" {
		s.header.Set("Last-Event-Id", f.LastEventID)
	}
	return s, s.readBody(r)
}
