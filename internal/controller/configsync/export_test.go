package configsync

// Exported for tests in package configsync_test.
const (
	WatchRendezvousKey = watchRendezvousKey
	WatchHolders       = watchHolders
)
