package configsync

// What the tests need to know of the choice of holders.
const (
	WatchRendezvousKey     = watchRendezvousKey
	WatchHolders = watchHolders
)
