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

// ledger counts executions.
type ledger struct {
	mu sync.Mutex
	c  ExecutionCounts
	// fences holds the highest fencing number seen of each action.
	fences map[string]uint64
}

func newLedger() ledger {
	return ledger{c: emptyCounts(), fences: map[string]uint64{}}
}

func emptyCounts() ExecutionCounts {
	return ExecutionCounts{
		ByKey:     map[string]int{},
		ByRequest: map[string]int{},
		ByAttempt: map[string]int{},
		ByPath:    map[string]int{},
	}
}

// execute counts one execution and returns how many there were for key.
func (l *ledger) execute(r *http.Request, key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.c.Total++
	l.c.ByPath[r.URL.Path]++
	add(l.c.ByRequest, r.Header.Get(dispatch.HeaderRequestID))
	add(l.c.ByAttempt, r.Header.Get(dispatch.HeaderAttemptID))
	return add(l.c.ByKey, key)
}

// add counts id unless it is empty.
func add(counts map[string]int, id string) int {
	if id == "" {
		return 0
	}
	counts[id]++
	return counts[id]
}

// fence reports whether n is the highest number seen for the action, and
// notes it.
func (l *ledger) fence(action string, n uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n <= l.fences[action] {
		l.c.RefusedByFencing++
		return false
	}
	l.fences[action] = n
	return true
}

func (l *ledger) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.c = emptyCounts()
}

func (l *ledger) counts() ExecutionCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.c
	c.ByKey = maps.Clone(c.ByKey)
	c.ByRequest = maps.Clone(c.ByRequest)
	c.ByAttempt = maps.Clone(c.ByAttempt)
	c.ByPath = maps.Clone(c.ByPath)
	return c
}
