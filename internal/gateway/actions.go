package gateway

import (
	"net/http"

	"goji.io/pat"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/memory"
)

// ActionResponse is the JSON response for an action that ran. Body is the body
// of the service's response.
type ActionResponse struct {
	Outcome  failure.Outcome      `json:"outcome"`
	Status   int                  `json:"status"`
	Replayed bool                 `json:"replayed"`
	Source   action.OutcomeSource `json:"way"`
	// BodyDropped is set in a replayed response whose body was not kept.
	BodyDropped bool   `json:"body_dropped,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        string `json:"body,omitempty"`
}

// actionsPath is the path prefix of requests about actions.
const actionsPath = "/v1/actions/"

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 1024

// runAction serves POST /v1/actions/{service}/{call}.
func (g *Gateway) runAction(w http.ResponseWriter, r *http.Request, c *call) error {
	service, name := pat.Param(r, "service"), pat.Param(r, "call")
	spec, err := lookupCall(c.state.Intent, service, name)
	if err != nil {
		// The outcome is unknown: the call may have been removed from the
		// configuration after an earlier request with this key ran it.
		return action.WithUnknownOutcome(err)
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" || len(key) > maxKeyBytes {
		return failure.Refuse(failure.CodeBadRequest, "the %s header must hold 1 to %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	resp, err := g.Actions.Do(contextWithCall(r.Context(), c), action.Call{
		Customer:    c.customerName,
		Key:         key,
		Service:     service,
		Name:        name,
		Body:        c.body,
		ContentType: r.Header.Get("Content-Type"),
		RequestID:   c.id,
		Timeout:     spec.Timeout.AsDuration(),
	})
	if err != nil {
		return err
	}
	c.releaseBody()
	hold := g.Memory.Open(memory.Response)
	defer hold.Close()
	// The response is held as it came, and as a string and as JSON while it is written.
	hold.Charge(3 * int64(len(resp.Body)))
	writeJSON(w, http.StatusOK, ActionResponse{
		Outcome:     resp.Outcome,
		Status:      resp.Status,
		Replayed:    resp.Replayed,
		Source:      resp.Source,
		BodyDropped: resp.BodyDropped,
		ContentType: resp.ContentType,
		Body:        string(resp.Body),
	})
	return nil
}

// actionOutcome serves GET /v1/actions/{key}.
func (g *Gateway) actionOutcome(w http.ResponseWriter, r *http.Request, c *call) error {
	release, err := g.acquireCustomerLimit(c)
	if err != nil {
		return action.WithUnknownOutcome(err)
	}
	defer release()
	record, err := g.Actions.Outcome(contextWithCall(r.Context(), c), action.Query{
		Customer: c.customerName,
		Key:      pat.Param(r, "key"),
	})
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, record)
	return nil
}

func lookupCall(in *intent.Intent, service, name string) (intent.Call, error) {
	s, ok := in.Services[service]
	if !ok {
		return intent.Call{}, failure.Refuse(failure.CodeUnknownService, "no service %q", service)
	}
	spec, ok := s.Calls[name]
	if !ok {
		return intent.Call{}, failure.Refuse(failure.CodeUnknownService, "service %q has no call %q", service, name)
	}
	return spec, nil
}
