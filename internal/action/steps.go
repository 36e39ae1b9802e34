package action

import (
	"context"

	"go.opentelemetry.io/otel/trace"
)

// Step names one step of the protocol. Between any two a process may be killed
// or paused, and each remote one may lose its request or its answer.
type Step string

// The steps, in the order in which a call takes them.
const (
	// StepForward asks the owner of a ticket.
	StepForward Step = "forward"
	// StepReserve has made the record; nothing is sent yet.
	StepReserve Step = "reserve"
	// StepAdmit asks whether the action may run now.
	StepAdmit Step = "admit"
	// StepClaimWrite creates the claim in the store.
	StepClaimWrite Step = "claim_write"
	// StepClaimRead reads a claim.
	StepClaimRead Step = "claim_read"
	// StepClaimed knows that the claim is this attempt's.
	StepClaimed Step = "claimed"
	// StepDial makes the connection to the endpoint.
	StepDial Step = "dial"
	// StepCommit has noted that the order may leave now.
	StepCommit Step = "commit"
	// StepSend gives the order to the endpoint and waits for its answer.
	StepSend Step = "send"
	// StepResult has the result; the record isn't finished yet.
	StepResult Step = "result"
	// StepReply is about to answer the caller.
	StepReply Step = "reply"
	// StepOutcomeWrite adds the outcome to the claim.
	StepOutcomeWrite Step = "outcome_write"
	// StepSealClose has closed the records for good.
	StepSealClose Step = "seal_close"
	// StepSealSend gives the seal to a peer.
	StepSealSend Step = "seal_send"
	// StepSealStore puts the seal into the store.
	StepSealStore Step = "seal_store"
	// StepSealRead looks for a seal at a peer.
	StepSealRead Step = "seal_read"
)

// StepInfo describes a step.
type StepInfo struct {
	Step Step
	// Remote says that the step waits for another process.
	Remote bool
	// Tickets and Claims say which kinds of keys take the step; Stop says that
	// it belongs to a graceful stop.
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

// at marks a local step: an event of the span and a call of Config.Observe.
func (m *Manager) at(ctx context.Context, s Step) {
	trace.SpanFromContext(ctx).AddEvent(string(s))
	if m.cfg.OnStep != nil {
		m.cfg.OnStep(s)
	}
}
