package peer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/bodyread"
	"github.com/hickorystage/hickorystage/internal/failure"
)

// Paths of requests about actions, which the owners of their tickets handle.
const (
	PathActionRun     = "/peer/v1/actions/run"
	PathActionOutcome = "/peer/v1/actions/outcome"
	PathSeal          = "/peer/v1/actions/seal"
)

// returnAllowance is added to the remaining time of a forwarded action, so that
// its response can still be sent back at the deadline.
const returnAllowance = 500 * time.Millisecond

// OwnerRequest asks the owner of a ticket to run a call or to return an outcome.
// A gateway that is not the owner forwards it if Forward.OwnerHopsLeft is above
// zero.
type OwnerRequest struct {
	Owner   string        `json:"owner"`
	Forward Forward       `json:"forward"`
	Call    *action.Call  `json:"call,omitempty"`
	Query   *action.Query `json:"query,omitempty"`
}

// OwnerResponse is the owner's response. Exactly one field is set.
type OwnerResponse struct {
	Response *action.Response `json:"answer,omitempty"`
	Record   *action.Record   `json:"record,omitempty"`
	Refusal  *RefusalMessage  `json:"refusal,omitempty"`
}

// RefusalMessage is the encoding of a failure.Refusal between gateways.
type RefusalMessage struct {
	Code             failure.Code    `json:"code"`
	Outcome          failure.Outcome `json:"outcome"`
	Message          string          `json:"message"`
	RetryAfterMillis int64           `json:"retry_after_ms,omitempty"`
	Ticket           string          `json:"ticket,omitempty"`
}

// NewRefusalMessage converts a refusal to its encoding.
func NewRefusalMessage(r *failure.Refusal) *RefusalMessage {
	return &RefusalMessage{
		Code:             r.Code,
		Outcome:          r.Outcome,
		Message:          r.Message,
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
		Ticket:           r.Ticket,
	}
}

// Refusal converts the encoding back to a refusal.
func (r *RefusalMessage) Refusal() *failure.Refusal {
	out := failure.New(r.Code, r.Outcome, "%s", r.Message)
	out.RetryAfter = time.Duration(r.RetryAfterMillis) * time.Millisecond
	out.Ticket = r.Ticket
	return out
}

// Valid reports whether exactly one field is set.
func (r OwnerResponse) Valid() bool {
	n := 0
	for _, set := range []bool{r.Response != nil, r.Record != nil, r.Refusal != nil} {
		if set {
			n++
		}
	}
	return n == 1
}

// SendOwnerRequest sends an owner request to the gateway at address, on a
// connection of its own, so that the transport never sends it twice. Its errors
// are *NotSentError, *ResponseLostError and *StatusError.
func (c *Client) SendOwnerRequest(ctx context.Context, address, path string, req OwnerRequest) (OwnerResponse, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return OwnerResponse{}, &NotSentError{Cause: err}
	}
	httpReq, err := c.newRequest(ctx, http.MethodPost, address, path, nil, body)
	if err != nil {
		return OwnerResponse{}, err
	}
	httpReq.GetBody = nil
	raw, err := c.roundTrip(c.unpooled, httpReq, MaxForwardBytes)
	if err != nil {
		return OwnerResponse{}, err
	}
	var response OwnerResponse
	if err := json.Unmarshal(raw, &response); err != nil || !response.Valid() {
		return OwnerResponse{}, &ResponseLostError{Cause: &MalformedResponseError{Cause: err}}
	}
	return response, nil
}

// MalformedResponseError reports that a peer's response cannot be decoded or,
// with a nil Cause, that it does not have exactly one field set.
type MalformedResponseError struct{ Cause error }

// Error implements error.
func (e *MalformedResponseError) Error() string { return "malformed response from peer" }

// Unwrap returns the cause, if any.
func (e *MalformedResponseError) Unwrap() error { return e.Cause }

// FetchSeal returns the seal of an incarnation from the gateway at address. A
// *StatusError with status 404 means that the gateway does not have it.
func (c *Client) FetchSeal(ctx context.Context, address, incarnation string) (action.Seal, error) {
	var seal action.Seal
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	err := c.postJSON(ctx, address, PathSeal, sealRequest{Incarnation: incarnation}, &seal, MaxForwardBytes)
	return seal, err
}

// SendSeal hands a seal over to the gateway at address.
func (c *Client) SendSeal(ctx context.Context, address string, seal action.Seal) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	return c.postJSON(ctx, address, PathHandover, seal, nil, MaxExchangeBytes)
}

type sealRequest struct {
	Incarnation string `json:"incarnation"`
}

// OwnerHandlers are the functions that handle requests about actions.
type OwnerHandlers struct {
	Run     func(ctx context.Context, req OwnerRequest) OwnerResponse
	Outcome func(ctx context.Context, req OwnerRequest) OwnerResponse
	// Seal returns the seal of an incarnation and whether this gateway has it.
	Seal func(incarnation string) (action.Seal, bool)
	// Import stores the seal of a stopping peer.
	Import func(seal action.Seal)
}

func (s *Server) serveOwnerRequest(serve func(context.Context, OwnerRequest) OwnerResponse) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		hold, body, _, ok := s.readCharged(w, r, func(err error) {
			refusal := action.WithUnknownOutcome(bodyread.Refusal(err))
			writeJSON(w, OwnerResponse{Refusal: NewRefusalMessage(refusal)})
		})
		defer hold.Close()
		if !ok {
			return
		}
		var req OwnerRequest
		if err := json.Unmarshal(body, &req); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, cancel := context.WithTimeout(ctx, req.Forward.Remaining()+returnAllowance)
		defer cancel()
		writeJSON(w, serve(ctx, req))
	}
}

func (s *Server) serveSeal(w http.ResponseWriter, r *http.Request) {
	body, _, ok := s.readVerified(w, r, MaxExchangeBytes)
	if !ok {
		return
	}
	var req sealRequest
	if err := json.Unmarshal(body, &req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	seal, held := s.handlers.Owner.Seal(req.Incarnation)
	if !held {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, seal)
}

func (s *Server) serveHandover(w http.ResponseWriter, r *http.Request) {
	hold, body, _, ok := s.readCharged(w, r, func(error) { w.WriteHeader(http.StatusServiceUnavailable) })
	defer hold.Close()
	if !ok {
		return
	}
	var seal action.Seal
	if err := json.Unmarshal(body, &seal); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.handlers.Owner.Import(seal)
	_, _ = io.WriteString(w, "{}")
}
