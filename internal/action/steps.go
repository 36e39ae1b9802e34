package action

import (
	"context"

	"go.opentelemetry.io/otel/trace"
)

// Step identifies one step of the protocol. A process may be killed or paused
// between any two steps, and each remote step may lose its request or its
// response.
type Step string

// The steps, in the order in which a call performs them.
const (
	// StepForward sends a call or query to the owner of a key and waits for the
	// response.
	StepForward Step = "forward"
	// StepReserve has created the record; nothing has been sent yet.
	StepReserve Step = "reserve"
	// StepAdmit asks whether the action may run now.
	StepAdmit Step = "admit"
	// StepClaimWrite creates the claim in the store.
	StepClaimWrite Step = "claim_write"
	// StepClaimRead reads a claim.
	StepClaimRead Step = "claim_read"
	// StepClaimed has confirmed that this attempt holds the claim.
	StepClaimed Step = "claimed"
	// StepDial establishes the connection to the endpoint.
	StepDial Step = "dial"
	// StepCommit has noted that the request is about to be sent.
	StepCommit Step = "commit"
	// StepSend sends the request to the endpoint and waits for the response.
	StepSend Step = "send"
	// StepResult has the result; the record isn't finished yet.
	StepResult Step = "result"
	// StepReply is about to return the result to the caller.
	StepReply Step = "reply"
	// StepOutcomeWrite adds the outcome to the claim.
	StepOutcomeWrite Step = "outcome_write"
	// StepSealClose has closed the records for good.
	StepSealClose Step = "seal_close"
	// StepSealSend sends the seal to a peer.
	StepSealSend Step = "seal_send"
	// StepSealStore writes the seal to the store.
	StepSealStore Step = "seal_store"
	// StepSealRead reads a seal from a peer.
	StepSealRead Step = "seal_read"
)

// StepInfo describes a step.
type StepInfo struct {
	Step Step
	// Remote reports whether the step waits for another process.
	Remote bool
	// Tickets and Claims tell for which kinds of keys the step is performed.
	// Stop reports whether it belongs to a graceful stop.
	Tickets bool
	Claims  bool
	Stop    bool
}

// Steps lists every step of the protocol.
func Steps() []StepInfo {
	return []StepInfo{
		{Step: StepForward, Remote: true, Tickets: true},
		{Step: StepReserve, Tickets: true, Claims: true},
		{Step: StepAdmit, Tickets: true, Claims: true},
		{Step: StepClaimWrite, Remote: true, Claims: true},
		{Step: StepClaimRead, Remote: true, Claims: true},
		{Step: StepClaimed, Claims: true},
		{Step: StepDial, Remote: true, Tickets: true, Claims: true},
		{Step: StepCommit, Tickets: true, Claims: true},
		{Step: StepSend, Remote: true, Tickets: true, Claims: true},
		{Step: StepResult, Tickets: true, Claims: true},
		{Step: StepReply, Tickets: true, Claims: true},
		{Step: StepOutcomeWrite, Remote: true, Claims: true},
		{Step: StepSealClose, Stop: true},
		{Step: StepSealSend, Remote: true, Stop: true},
		{Step: StepSealStore, Remote: true, Stop: true},
		{Step: StepSealRead, Remote: true, Stop: true},
	}
}

// recordStep records a local step as an event of the span and calls
// Config.OnStep.
func (m *Manager) recordStep(ctx context.Context, s Step) {
	trace.SpanFromContext(ctx).AddEvent(string(s))
	if m.cfg.OnStep != nil {
		m.cfg.OnStep(s)
	}
}
