package action

import "github.com/hickorystage/hickorystage/internal/telemetry"

var (
	issued        = telemetry.NewCounter("action.tickets_issued", "tickets", "action tickets issued to callers")
	badTickets    = telemetry.NewCounter("action.tickets_bad", "requests", "requests with a malformed, forged or foreign ticket")
	expired       = telemetry.NewCounter("action.tickets_expired", "requests", "requests with an expired ticket that had not been used")
	dispatched    = telemetry.NewCounter("action.dispatched", "actions", "actions of which a byte may have been sent to an endpoint")
	replays       = telemetry.NewCounter("action.replays", "requests", "requests answered from the record of an earlier one")
	forwards      = telemetry.NewCounter("action.forwards", "requests", "requests passed to the owner of their ticket")
	ranCount      = telemetry.NewCounter("action.ran", "actions", "actions that ended as ran")
	notRunCount   = telemetry.NewCounter("action.not_run", "actions", "actions that ended as not run")
	unknownCount  = telemetry.NewCounter("action.unknown", "actions", "actions whose outcome this gateway can't know")
	recordsFull   = telemetry.NewCounter("action.records_full", "requests", "actions refused because the memory for records was full")
	claimsMade    = telemetry.NewCounter("action.claims", "claims", "keys of callers claimed in the store")
	claimCalls    = telemetry.NewCounter("action.claim_store_calls", "calls", "store calls made for claims and their outcomes")
	claimsInDoubt = telemetry.NewCounter("action.claims_in_doubt", "requests", "requests under a claim without an outcome whose owner gave none")
	claimsPending = telemetry.NewCounter("action.claim_outcomes_pending", "claims", "outcomes of claims that wait to be written to the store")
	sealsHeld     = telemetry.NewCounter("action.seals_held", "seals", "seals of stopped gateways held by this one")
	sealsFailed   = telemetry.NewCounter("action.seals_unsent", "seals", "seals that neither a peer nor the store took")
)
