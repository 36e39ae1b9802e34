package action

import "github.com/hickorystage/hickorystage/internal/telemetry"

var (
	ticketsIssued            = telemetry.NewCounter("action_tickets_issued", "tickets", "action tickets issued to callers")
	badTickets               = telemetry.NewCounter("action_tickets_bad", "requests", "requests with a malformed or forged ticket, or one of another customer")
	expiredTickets           = telemetry.NewCounter("action_tickets_expired", "requests", "requests with an expired ticket that had not been used")
	actionsDispatched        = telemetry.NewCounter("action_dispatched", "actions", "actions that may have been sent, at least in part, to an endpoint")
	replays                  = telemetry.NewCounter("action_replays", "requests", "requests answered from the record of an earlier request")
	forwards                 = telemetry.NewCounter("action_forwards", "requests", "requests forwarded to the gateway that issued their ticket")
	ranCount                 = telemetry.NewCounter("action_ran", "actions", "actions that ran")
	notRunCount              = telemetry.NewCounter("action_not_run", "actions", "actions that did not run")
	unknownCount             = telemetry.NewCounter("action_unknown", "actions", "actions with an unknown outcome")
	recordLimitRefusals      = telemetry.NewCounter("action_records_full", "requests", "requests refused because the limit on action records was reached")
	claimsCreated            = telemetry.NewCounter("action_claims", "claims", "caller keys claimed in the store")
	claimStoreCalls          = telemetry.NewCounter("action_claim_store_calls", "calls", "store calls made for claims and their outcomes")
	claimsInDoubt            = telemetry.NewCounter("action_claims_in_doubt", "requests", "requests for a claim without an outcome whose owner did not supply one")
	claimsPending            = telemetry.NewCounter("action_claim_outcomes_pending", "claims", "claim outcomes waiting to be written to the store")
	claimsWrittenAgain       = telemetry.NewCounter("action_claims_written_again", "claims", "claims written again after the store was restored from an older copy")
	claimsClosedAfterRestore = telemetry.NewCounter("action_claims_closed", "claims", "caller keys closed without running, since the store may have lost their claims in a restore")
	sealsCached              = telemetry.NewCounter("action_seals_held", "seals", "seals of stopped gateways held by this one")
	sealsUnsent              = telemetry.NewCounter("action_seals_unsent", "seals", "seals that neither a peer nor the store accepted")
)
