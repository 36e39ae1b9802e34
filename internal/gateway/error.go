package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// ErrorBody is the JSON body of a refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a refusal and what is known of the outcome of the
// request.
type ErrorDetail struct {
	Type      failure.Code    `json:"type"`
	Code      failure.Code    `json:"code"`
	Message   string          `json:"message"`
	RequestID string          `json:"request_id"`
	Outcome   failure.Outcome `json:"outcome"`
	// RetryAfterMillis is set if a retry may succeed.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Ticket is a new action ticket that lets the caller retry without the
	// store. It is empty for all refusals but those of claims.
	Ticket string `json:"ticket,omitempty"`
	// Entries lists the gateways to use instead of this one.
	Entries []EntryGateway `json:"entries,omitempty"`
}

func (g *Gateway) writeRefusal(w http.ResponseWriter, requestID string, r *failure.Refusal, entries []EntryGateway) {
	rejected.Inc()
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	writeJSON(w, r.Status(), ErrorBody{Error: ErrorDetail{
		Type:             r.Code,
		Code:             r.Code,
		Message:          r.Message,
		RequestID:        requestID,
		Outcome:          r.Outcome,
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
		Ticket:           r.Ticket,
		Entries:          entries,
	}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (g *Gateway) notFound(w http.ResponseWriter, r *http.Request) {
	g.writeRefusal(w, requestID(r), failure.Refuse(failure.CodeNotFound, "no such path"), nil)
}
