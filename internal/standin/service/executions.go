package service

import (
	"maps"
	"net/http"
	"sync"

	"github.com/hickorystage/hickorystage/internal/action/sender"
)

// ExecutionCounts counts the calls that the service executed, as opposed to those
// that callers believe were executed.
type ExecutionCounts struct {
	Total int `json:"total"`
	// RefusedByFencing counts the calls refused for an outdated fencing token.
	RefusedByFencing int `json:"refused_by_fencing"`
	// ByKey counts by the field key of the call's body.
	ByKey     map[string]int `json:"by_key"`
	ByRequest map[string]int `json:"by_request"`
	ByAttempt map[string]int `json:"by_attempt"`
	ByPath    map[string]int `json:"by_path"`
}

// executionCounter collects ExecutionCounts and keeps the fencing tokens.
type executionCounter struct {
	mu      sync.Mutex
	current ExecutionCounts
	// highestFencingTokens holds the highest fencing token seen, by action id.
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

// record counts one execution and returns the number of executions for key, 0 if
// key is empty.
func (e *executionCounter) record(r *http.Request, key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current.Total++
	e.current.ByPath[r.URL.Path]++
	increment(e.current.ByRequest, r.Header.Get(sender.HeaderRequestID))
	increment(e.current.ByAttempt, r.Header.Get(sender.HeaderAttemptID))
	return increment(e.current.ByKey, key)
}

// increment adds one to the count of id and returns the new count. An empty id
// isn't counted.
func increment(counts map[string]int, id string) int {
	if id == "" {
		return 0
	}
	counts[id]++
	return counts[id]
}

// acceptFencingToken reports whether n is above every token seen for the action,
// and if so stores it. Otherwise it counts a refusal.
func (e *executionCounter) acceptFencingToken(actionID string, token uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if token <= e.highestFencingTokens[actionID] {
		e.current.RefusedByFencing++
		return false
	}
	e.highestFencingTokens[actionID] = token
	return true
}

// reset clears the counts; the fencing tokens stay.
func (e *executionCounter) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current = emptyCounts()
}

func (e *executionCounter) snapshot() ExecutionCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.current
	c.ByKey = maps.Clone(c.ByKey)
	c.ByRequest = maps.Clone(c.ByRequest)
	c.ByAttempt = maps.Clone(c.ByAttempt)
	c.ByPath = maps.Clone(c.ByPath)
	return c
}
