package configsync

import "github.com/hickorystage/hickorystage/internal/telemetry"

var (
	revisionInForce  = telemetry.NewCounter("config_revision", "revision", "revision in force at this gateway")
	adoptedFromStore = telemetry.NewCounter("config_adopted_from_store", "revisions", "revisions adopted from the store")
	adoptedFromPeers = telemetry.NewCounter("config_adopted_from_peers", "revisions", "revisions adopted from a peer")
	watchFailures    = telemetry.NewCounter("config_watch_failures", "calls", "watches of the head that failed")
	readFailures     = telemetry.NewCounter("config_read_failures", "calls", "other reads of the configuration in the store that failed")
	peerFailures     = telemetry.NewCounter("config_peer_failures", "calls", "fetches of a peer's snapshot that failed")
	badContentRevisions       = telemetry.NewCounter("config_bad_content", "revisions", "revisions refused because a digest does not match or the files are not valid")
	staleHeadReads      = telemetry.NewCounter("config_store_behind", "reads", "reads of a head lower than the revision in force")
	digestConflicts  = telemetry.NewCounter("config_digest_conflicts", "reads", "heads with the revision in force but another digest")
	storeRepairs          = telemetry.NewCounter("config_store_repairs", "repairs", "revisions in force written back into a store that had lost them")
	storeRepairFailures   = telemetry.NewCounter("config_store_repair_failures", "repairs", "tries to write the revision in force back that failed or came second")
	watchesHeld        = telemetry.NewCounter("config_watch_held", "gateways", "1 while this gateway holds a watch of the head")
)
