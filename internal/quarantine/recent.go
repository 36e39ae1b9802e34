package quarantine

import "time"

const (
	// generationTime is how long a generation of recentTimes is added to. Entries are
	// kept for one to two of them, longer than a segment in use goes without a complete
	// response.
	generationTime = 10 * time.Second
	// maxGeneration is the number of entries after which the next generation begins
	// early.
	maxGeneration = 8192
)

// recentTimes holds the last time of each of many keys for a while.
type recentTimes struct {
	current, previous map[Key]time.Time
	startedAt         time.Time
}

func newRecentTimes() recentTimes { return recentTimes{current: make(map[Key]time.Time)} }

// set records a time, which is not before the ones recorded earlier.
func (r *recentTimes) set(k Key, at time.Time) {
	if len(r.current) >= maxGeneration || at.Sub(r.startedAt) > generationTime {
		r.previous, r.current, r.startedAt = r.current, make(map[Key]time.Time), at
	}
	r.current[k] = at
}

// get returns the last time of a key, zero if it is not known.
func (r *recentTimes) get(k Key) time.Time {
	if at, ok := r.current[k]; ok {
		return at
	}
	return r.previous[k]
}
