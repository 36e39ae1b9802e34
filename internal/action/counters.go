package action

import "github.com/hickorystage/hickorystage/internal/telemetry"

var (
	issued        = telemetry.NewCounter("action_tickets_issued", "tickets", "action tickets issued to callers")
	badTickets    = telemetry.NewCounter("action_tickets_bad", "requests", "requests with a malformed, forged or foreign ticket")
	expired       = telemetry.NewCounter("action_tickets_expired", "requests", "requests with an expired ticket that had not been used")
	dispatched    = telemetry.NewCounter("action_dispatched", "actions", "actions of which a byte may have been sent to an endpoint")
	replays       = telemetry.NewCounter("action_replays", "requests", "requests answered from the record of an earlier one")
	forwards      = telemetry.NewCounter("action_forwards", "requests", "requests passed to the owner of their ticket")
	ranCount      = telemetry.NewCounter("action_ran", "actions", "actions that ended as ran")
	notRunCount   = telemetry.NewCounter("action_not_run", "actions", "actions that ended as not run")
	unknownCount  = telemetry.NewCounter("action_unknown", "actions", "actions whose outcome this gateway can't know")
	recordsFull   = telemetry.NewCounter("action_records_full", "requests", "actions refused because the memory for records was full")
	claimsMade    = telemetry.NewCounter("action_claims", "claims", "keys of callers claimed in the store")
	claimCalls    = telemetry.NewCounter("action_claim_store_calls", "calls", "store calls made for claims and their outcomes")
	claimsInDoubt = telemetry.NewCounter("action_claims_in_doubt", "requests", "requests under a claim without an outcome whose owner gave none")
	claimsPending = telemetry.NewCounter("action_claim_outcomes_pending", "claims", "outcomes of claims that wait to be written to the store")
	sealsHeld     = telemetry.NewCounter("action_seals_held", "seals", "seals of stopped gateways held by this one")
	sealsFailed   = telemetry.NewCounter("action_seals_unsent", "seals", "seals that neither a peer nor the store took")
)
