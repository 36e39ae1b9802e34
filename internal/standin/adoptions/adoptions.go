// Package adoptions lets tests watch every adoption of a configuration by a gateway. A
// step back that is soon repaired can't be seen in a gateway's state, but in its log.
package adoptions

import (
	"io"
	"regexp"
	"strconv"
	"sync"
)

// Reporter is the part of testing.TB and *rapid.T that a Watcher needs.
type Reporter interface {
	Errorf(format string, args ...any)
}

// Watcher is the output of one gateway's log. It reports each adoption of a revision, or a
// version, that is not higher than the one before. It is safe for concurrent use.
type Watcher struct {
	t    Reporter
	name string
	next io.Writer

	mu   sync.Mutex
	last uint64
	seen int
}

// Watch returns a Watcher for one incarnation of the named gateway that passes the log on
// to next.
func Watch(t Reporter, name string, next io.Writer) *Watcher {
	return &Watcher{t: t, name: name, next: next}
}

// adoption matches the log line of an adoption.
var adoption = regexp.MustCompile(`configuration in force.* (?:revision|version)=(\d+)`)

// Write implements io.Writer. Each call has to write whole lines, as loggers do.
func (w *Watcher) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, match := range adoption.FindAllSubmatch(p, -1) {
		number, err := strconv.ParseUint(string(match[1]), 10, 64)
		if err != nil || number <= w.last {
			w.t.Errorf("%s put %s in force after %d", w.name, match[1], w.last)
			continue
		}
		w.last = number
		w.seen++
	}
	return w.next.Write(p)
}

// Count returns the number of adoptions so far.
func (w *Watcher) Count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seen
}
