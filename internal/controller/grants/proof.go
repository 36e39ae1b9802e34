package grants

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/telemetry"
)

const (
	// proofTimeout is how long to wait for a ProofResponse. A late one is sound: the age
	// counts from the request. Later than this it is of no use any more.
	proofTimeout = time.Second
	// maxProofAge is the oldest proof that is stated or believed. It is longer than any
	// bound, and short enough to be a time.Duration.
	maxProofAge = time.Hour
)

var (
	proofsAsked      = telemetry.NewCounter("proofs_asked", "requests", "requests to other gateways for the age of their proof that the configuration is current")
	proofsAnswered   = telemetry.NewCounter("proofs_answered", "requests", "such requests of other gateways answered")
	proofsUnanswered = telemetry.NewCounter("proofs_unanswered", "requests", "such requests without a response in time")
)

// ProofRequest asks a gateway how old the proof is that its configuration is current.
type ProofRequest struct {
	// Nonce is random and repeated in the response. It keeps the response to a request of
	// an earlier process at the same address from being taken for that to this one: ids
	// start at 1 in each process.
	Nonce uint64 `json:"r" lenient:"required"`
}

// ProofResponse states the age of a proof at the time of the response. It is read whole or
// not at all: without one of its fields, a proof would be taken for a younger one or for
// that of another version.
type ProofResponse struct {
	Nonce uint64 `json:"r" lenient:"required"`
	// AgeMicros is the age in microseconds, nil if the gateway has no proof.
	AgeMicros *int64 `json:"a,omitempty" lenient:"required"`
	// Version is that of the configuration which was current then, Era the newest era of
	// the store that the gateway knows of.
	Version uint64 `json:"v,omitempty" lenient:"required"`
	Era     uint64 `json:"e,omitempty" lenient:"required"`
}

// SetAge sets the age, rounded up. An age that can't be stated is left out.
func (r *ProofResponse) SetAge(age time.Duration) {
	if age < 0 || age > maxProofAge {
		r.AgeMicros = nil
		return
	}
	micros := int64((age + time.Microsecond - 1) / time.Microsecond)
	r.AgeMicros = &micros
}

// Age returns the age. ok is false if there is no proof, or no credible one.
func (r ProofResponse) Age() (age time.Duration, ok bool) {
	if r.Version == 0 || r.AgeMicros == nil || *r.AgeMicros < 0 || *r.AgeMicros > maxProofAge.Microseconds() {
		return 0, false
	}
	return time.Duration(*r.AgeMicros) * time.Microsecond, true
}

// Prover states the proof of this gateway.
type Prover interface{ Prove() ProofResponse }

// SetProver sets the Prover. It must be called before Run. Without one, requests for
// proofs get no response.
func (c *Controller) SetProver(prover Prover) { c.prover = prover }

// answerProof answers a request for a proof.
func (c *Controller) answerProof(m message, from net.Addr) {
	if c.prover == nil {
		return
	}
	response := c.prover.Prove()
	response.Nonce = m.ProofRequest.Nonce
	proofsAnswered.Inc()
	c.respond(message{RequestID: m.RequestID, ProofResponse: &response}, from)
}

// RequestProof asks a gateway for its proof. The error is a *NoResponseError if it doesn't
// respond. Unlike RequestGrant it also asks gateways that didn't respond a moment ago:
// it isn't on the way of a request.
func (c *Controller) RequestProof(ctx context.Context, gateway, address string) (ProofResponse, error) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return ProofResponse{}, errors.Wrap(err, "resolve gateway address")
	}
	req := ProofRequest{Nonce: rand.Uint64()}
	id, ch := c.register()
	defer c.unregister(id)
	proofsAsked.Inc()
	if err := c.send(message{RequestID: id, ProofRequest: &req}, to); err != nil {
		return ProofResponse{}, err
	}
	timer := time.NewTimer(proofTimeout)
	defer timer.Stop()
	select {
	case m := <-ch:
		if m.ProofResponse != nil && m.ProofResponse.Nonce == req.Nonce {
			return *m.ProofResponse, nil
		}
	case <-ctx.Done():
		return ProofResponse{}, errors.WithStack(ctx.Err())
	case <-timer.C:
	}
	proofsUnanswered.Inc()
	return ProofResponse{}, errors.WithStack(&NoResponseError{Gateway: gateway})
}
