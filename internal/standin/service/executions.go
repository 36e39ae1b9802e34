package service

import (
	"maps"
	"net/http"
	"sync"

	"github.com/hickorystage/hickorystage/internal/action/dispatch"
)

// ExecutionCounts tells how often the service has really executed a call.
type ExecutionCounts struct {
	Total int `json:"total"`
	// RefusedByFencing counts the orders with an old fencing number.
	RefusedByFencing int            `json:"refused_by_fencing"`
	ByKey            map[string]int `json:"by_key"`
	ByRequest        map[string]int `json:"by_request"`
	ByAttempt        map[string]int `json:"by_attempt"`
	ByPath           map[string]int `json:"by_path"`
}

// executionCounter counts executions.
type executionCounter struct {
	mu      sync.Mutex
	current ExecutionCounts
	// highestFencingTokens holds the highest fencing number seen of each action.
	highestFencingTokens map[string]uint64
}

func newExecutionCounter() executionCounter {
	return executionCounter{current: emptyCounts(), highestFencingTokens: map[string]uint64{}}
}

func emptyCounts() ExecutionCounts {
	return ExecutionCounts{
		ByKey:     map[string]int{},
		ByRequest: map[string]int{},
		ByAttempt: map[string]int{},
		ByPath:    map[string]int{},
	}
}

// record counts one execution and returns how many there were for key.
func (l *executionCounter) record(r *http.Request, key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current.Total++
	l.current.ByPath[r.URL.Path]++
	increment(l.current.ByRequest, r.Header.Get(dispatch.HeaderRequestID))
	increment(l.current.ByAttempt, r.Header.Get(dispatch.HeaderAttemptID))
	return increment(l.current.ByKey, key)
}

// increment counts id unless it is empty.
func increment(counts map[string]int, id string) int {
	if id == "" {
		return 0
	}
	counts[id]++
	return counts[id]
}

// acceptFencingToken reports whether n is the highest number seen for the action, and
// notes it.
func (l *executionCounter) acceptFencingToken(action string, n uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n <= l.highestFencingTokens[action] {
		l.current.RefusedByFencing++
		return false
	}
	l.highestFencingTokens[action] = n
	return true
}

func (l *executionCounter) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = emptyCounts()
}

func (l *executionCounter) snapshot() ExecutionCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.current
	c.ByKey = maps.Clone(c.ByKey)
	c.ByRequest = maps.Clone(c.ByRequest)
	c.ByAttempt = maps.Clone(c.ByAttempt)
	c.ByPath = maps.Clone(c.ByPath)
	return c
}
