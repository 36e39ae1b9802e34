// Package fault injects faults into the stand-ins' requests, responses and
// connections. Its switches are set by tests or through an admin port.
package fault

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Kind names a kind of fault.
type Kind string

// The kinds of faults.
const (
	// Delay delays the processing of a request by DelayMillis.
	Delay Kind = "delay"
	// DropRequest closes the connection without processing the request.
	DropRequest Kind = "drop_request"
	// DropResponse processes the request, then closes the connection without a
	// response.
	DropResponse Kind = "drop_answer"
	// Silent makes the connections that are open when it is set lose all data in
	// both directions, for good; new ones work.
	Silent Kind = "silent"
	// Freeze blocks every request to which it applies until it is cleared.
	Freeze Kind = "freeze"
	// Stop closes the listener and every connection until it is cleared.
	Stop Kind = "stop"
	// Truncate closes the connection after Bytes bytes of the response body, or
	// after Chunks flushes of it.
	Truncate Kind = "truncate"
	// SwapResponses swaps the responses of two concurrent requests. A request
	// without a partner gets its own after a second.
	SwapResponses Kind = "cross"
	// PublishDelayed adds DelayMillis to the lag of published reports and events.
	PublishDelayed Kind = "publish_late"
	// PublishGaps omits one in Every published events.
	PublishGaps Kind = "publish_gaps"
)

var kinds = map[Kind]bool{
	Delay: true, DropRequest: true, DropResponse: true, Silent: true, Freeze: true,
	Stop: true, Truncate: true, SwapResponses: true, PublishDelayed: true, PublishGaps: true,
}

// Setting is one switch with its parameters. Which of them apply depends on Kind.
type Setting struct {
	Kind Kind `json:"kind"`
	// Method and Path restrict the switch to requests with this method and path
	// prefix; empty means any.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// Count limits the switch to the next Count requests; 0 means no limit.
	Count       int   `json:"count,omitempty"`
	DelayMillis int64 `json:"delay_ms,omitempty"`
	Bytes       int64 `json:"bytes,omitempty"`
	Chunks      int   `json:"chunks,omitempty"`
	Every       int   `json:"every,omitempty"`
}

// Delay returns DelayMillis as a duration.
func (s Setting) Delay() time.Duration { return time.Duration(s.DelayMillis) * time.Millisecond }

// UnknownKindError reports a kind that isn't one of those above.
type UnknownKindError struct{ Kind Kind }

// Error implements error.
func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown fault switch %q", e.Kind) }

// Switches is the set of fault switches of one stand-in. Its zero value has none on;
// it is safe for concurrent use.
type Switches struct {
	mu       sync.Mutex
	settings []Setting
	// changed is closed and replaced at every change; nil before the first use.
	changed chan struct{}
	// silences is the number of times that Silent was set.
	silences uint64
	// published is the number of events counted for PublishGaps.
	published int
	// waitingSwap is the response that waits for a partner, nil if there is none.
	waitingSwap *responseSwap
}

// New returns switches that are all off.
func New() *Switches { return &Switches{} }

// Set adds a setting. Several settings of one kind may be on at once; a request
// uses the first that applies to it. The error is an *UnknownKindError.
func (s *Switches) Set(setting Setting) error {
	if !kinds[setting.Kind] {
		return &UnknownKindError{Kind: setting.Kind}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if setting.Kind == Silent {
		s.silences++
	} else {
		s.settings = append(s.settings, setting)
	}
	s.notifyChange()
	return nil
}

// Clear removes every setting of the kind. Silent connections stay silent.
func (s *Switches) Clear(kind Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.settings[:0]
	for _, setting := range s.settings {
		if setting.Kind != kind {
			kept = append(kept, setting)
		}
	}
	s.settings = kept
	s.notifyChange()
}

// Reset removes every setting. Silent connections stay silent.
func (s *Switches) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = nil
	s.notifyChange()
}

// List returns the active settings. Silent isn't listed, since it acts only at the
// moment at which it is set.
func (s *Switches) List() []Setting {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Setting{}, s.settings...)
}

// PublishDelay returns the additional lag of published reports and events: the sum
// of the PublishDelayed settings.
func (s *Switches) PublishDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var d time.Duration
	for _, setting := range s.settings {
		if setting.Kind == PublishDelayed {
			d += setting.Delay()
		}
	}
	return d
}

// SkipPublished counts one published event and reports whether to omit it.
func (s *Switches) SkipPublished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, setting := range s.settings {
		if setting.Kind == PublishGaps && setting.Every > 0 {
			s.published++
			return s.published%setting.Every == 0
		}
	}
	return false
}

// Consume returns the first setting of the kind that applies to the request and
// counts down its remaining requests.
func (s *Switches) Consume(kind Kind, method, path string) (Setting, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, setting := range s.settings {
		if !setting.applies(kind, method, path) {
			continue
		}
		s.countDown(i)
		return setting, true
	}
	return Setting{}, false
}

func (s Setting) applies(kind Kind, method, path string) bool {
	if s.Kind != kind || !strings.HasPrefix(path, s.Path) {
		return false
	}
	return s.Method == "" || s.Method == method
}

// countDown decrements the count of setting i and removes it at 0. The caller holds
// the lock.
func (s *Switches) countDown(i int) {
	if s.settings[i].Count == 0 {
		return
	}
	s.settings[i].Count--
	if s.settings[i].Count == 0 {
		s.settings = append(s.settings[:i:i], s.settings[i+1:]...)
	}
}

// active reports whether a setting of the kind applies to the request. It counts
// nothing down. The channel is closed at the next change of any setting.
func (s *Switches) active(kind Kind, method, path string) (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	for _, x := range s.settings {
		if x.applies(kind, method, path) {
			return true, s.changed
		}
	}
	return false, s.changed
}

func (s *Switches) silenceCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silences
}

// notifyChange wakes those who wait for a change. The caller holds the lock.
func (s *Switches) notifyChange() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}
