package gateway

import (
	"net/http"

	"goji.io/pat"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/intent"
)

// ActionResponse is the answer of an action that ran. Body is the service's.
type ActionResponse struct {
	Outcome  failure.Outcome      `json:"outcome"`
	Status   int                  `json:"status"`
	Replayed bool                 `json:"replayed"`
	Source   action.OutcomeSource `json:"way"`
	// BodyDropped says that a replay's body was not kept.
	BodyDropped bool   `json:"body_dropped,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        string `json:"body,omitempty"`
}

// actionsPath starts the paths of requests about actions.
const actionsPath = "/v1/actions/"

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 1024

// runAction serves POST /v1/actions/{service}/{call}.
func (g *Gateway) runAction(w http.ResponseWriter, r *http.Request, c *call) error {
	service, name := pat.Param(r, "service"), pat.Param(r, "call")
	spec, err := lookupCall(c.state.Intent, service, name)
	if err != nil {
		// The call may have left the configuration after an earlier request
		// under this key ran.
		return action.WithUnknownOutcome(err)
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" || len(key) > maxKeyBytes {
		return failure.Refuse(failure.CodeBadRequest, "the %s header must hold 1 to %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	answer, err := g.Actions.Do(withCall(r.Context(), c), action.Call{
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
	writeJSON(w, http.StatusOK, ActionResponse{
		Outcome:     answer.Outcome,
		Status:      answer.Status,
		Replayed:    answer.Replayed,
		Source:      answer.Source,
		BodyDropped: answer.BodyDropped,
		ContentType: answer.ContentType,
		Body:        string(answer.Body),
	})
	return nil
}

// actionOutcome serves GET /v1/actions/{key}.
func (g *Gateway) actionOutcome(w http.ResponseWriter, r *http.Request, c *call) error {
	release, err := g.limit(c)
	if err != nil {
		return action.WithUnknownOutcome(err)
	}
	defer release()
	rec, err := g.Actions.Outcome(withCall(r.Context(), c), action.Query{
		Customer: c.customerName,
		Key:      pat.Param(r, "key"),
	})
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, rec)
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
