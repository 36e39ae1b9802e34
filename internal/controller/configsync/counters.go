package configsync

import "github.com/hickorystage/hickorystage/internal/telemetry"

var (
	revisionInForce     = telemetry.NewCounter("config_revision", "revision", "revision in force at this gateway")
	adoptedFromStore    = telemetry.NewCounter("config_adopted_from_store", "revisions", "revisions adopted from the store")
	adoptedFromPeers    = telemetry.NewCounter("config_adopted_from_peers", "revisions", "revisions adopted from a peer")
	watchFailures       = telemetry.NewCounter("config_watch_failures", "calls", "failed watch calls on the configuration head")
	readFailures        = telemetry.NewCounter("config_read_failures", "calls", "failed reads of the configuration from the store, watches excluded")
	peerFailures        = telemetry.NewCounter("config_peer_failures", "calls", "failed fetches of a configuration snapshot from a peer")
	badContentRevisions = telemetry.NewCounter("config_bad_content", "revisions", "revisions rejected because a digest does not match or the files are not valid")
	staleHeadReads      = telemetry.NewCounter("config_store_behind", "reads", "reads of a head older than the revision in force")
	digestConflicts     = telemetry.NewCounter("config_digest_conflicts", "reads", "heads with the number of the revision in force but a different digest")
	storeRepairs        = telemetry.NewCounter("config_store_repairs", "repairs", "successful writes of the revision in force back into a store that had lost it")
	storeRepairFailures = telemetry.NewCounter("config_store_repair_failures", "repairs", "writes of the revision in force back into the store that failed or lost to a concurrent write")
	watchesHeld         = telemetry.NewCounter("config_watch_held", "gateways", "1 while this gateway watches the configuration head")
)
