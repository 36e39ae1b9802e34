package configsync

// HolderScore and WatchHolders are shown to the tests.
var HolderScore = holderScore

// WatchHolders is the number of holders in a region.
const WatchHolders = watchHolders
