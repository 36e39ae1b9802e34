// Package fault holds the fault switches of the stand-ins: what goes wrong with
// a request, an answer or a connection, set by tests or on an admin port.
package fault

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Kind names a switch.
type Kind string

// The switches.
const (
	// Delay holds a request back for DelayMillis before it is processed.
	Delay Kind = "delay"
	// DropRequest closes the connection without processing the request.
	DropRequest Kind = "drop_request"
	// DropResponse processes the request, then closes the connection without an
	// answer.
	DropResponse Kind = "drop_answer"
	// Silent makes the connections that are open when it is set never answer
	// again; new ones work.
	Silent Kind = "silent"
	// Freeze holds every request back until it is cleared.
	Freeze Kind = "freeze"
	// Stop closes the listener and every connection until it is cleared.
	Stop Kind = "stop"
	// Truncate cuts the connection after Bytes of the answer's body, or after
	// Chunks flushes of it.
	Truncate Kind = "truncate"
	// SwapResponses swaps the answers of two concurrent requests.
	SwapResponses Kind = "cross"
	// PublishDelayed adds DelayMillis to the lag of published reports and events.
	PublishDelayed Kind = "publish_late"
	// PublishGaps leaves out every Every-th published event.
	PublishGaps Kind = "publish_gaps"
)

var kinds = map[Kind]bool{
	Delay: true, DropRequest: true, DropResponse: true, Silent: true, Freeze: true,
	Stop: true, Truncate: true, SwapResponses: true, PublishDelayed: true, PublishGaps: true,
}

// Setting is one switch as it is set.
type Setting struct {
	Kind Kind `json:"kind"`
	// Method and Path restrict the switch to requests of this method and path
	// prefix.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// Count limits the switch to the next Count requests; 0 keeps it on.
	Count       int   `json:"count,omitempty"`
	DelayMillis int64 `json:"delay_ms,omitempty"`
	Bytes       int64 `json:"bytes,omitempty"`
	Chunks      int   `json:"chunks,omitempty"`
	Every       int   `json:"every,omitempty"`
}

// Delay returns DelayMillis as a duration.
func (s Setting) Delay() time.Duration { return time.Duration(s.DelayMillis) * time.Millisecond }

// UnknownKindError says that no switch has this name.
type UnknownKindError struct{ Kind Kind }

// Error implements error.
func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown fault switch %q", e.Kind) }

// Switches is the set of switches of one stand-in. Its zero value has none on.
type Switches struct {
	mu       sync.Mutex
	settings []Setting
	changed  chan struct{}
	// epoch grows each time Silent is set.
	epoch     uint64
	published int
	parked    *crossed
}

// New returns switches that are all off.
func New() *Switches { return &Switches{} }

// Set throws a switch. Several settings of one kind may be on at once.
func (s *Switches) Set(setting Setting) error {
	if !kinds[setting.Kind] {
		return &UnknownKindError{Kind: setting.Kind}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if setting.Kind == Silent {
		s.epoch++
	} else {
		s.settings = append(s.settings, setting)
	}
	s.announce()
	return nil
}

// Clear turns off every switch of the kind. Silent connections stay silent.
func (s *Switches) Clear(kind Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.settings[:0]
	for _, x := range s.settings {
		if x.Kind != kind {
			kept = append(kept, x)
		}
	}
	s.settings = kept
	s.announce()
}

// Reset turns off every switch.
func (s *Switches) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = nil
	s.announce()
}

// List returns the switches that are on.
func (s *Switches) List() []Setting {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Setting{}, s.settings...)
}

// PublishDelay returns the extra lag of published reports and events.
func (s *Switches) PublishDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var d time.Duration
	for _, x := range s.settings {
		if x.Kind == PublishDelayed {
			d += x.Delay()
		}
	}
	return d
}

// SkipPublished counts one published event and says whether to leave it out.
func (s *Switches) SkipPublished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.settings {
		if x.Kind == PublishGaps && x.Every > 0 {
			s.published++
			return s.published%x.Every == 0
		}
	}
	return false
}

// Consume returns the first switch of the kind that applies to the request and
// uses up one of its count.
func (s *Switches) Consume(kind Kind, method, path string) (Setting, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, x := range s.settings {
		if !x.applies(kind, method, path) {
			continue
		}
		s.use(i)
		return x, true
	}
	return Setting{}, false
}

func (s Setting) applies(kind Kind, method, path string) bool {
	if s.Kind != kind || !strings.HasPrefix(path, s.Path) {
		return false
	}
	return s.Method == "" || s.Method == method
}

// use counts down setting i, which the caller holds the lock for.
func (s *Switches) use(i int) {
	if s.settings[i].Count == 0 {
		return
	}
	s.settings[i].Count--
	if s.settings[i].Count == 0 {
		s.settings = append(s.settings[:i:i], s.settings[i+1:]...)
	}
}

// on says whether a switch of the kind applies, and returns a channel that is
// closed at the next change.
func (s *Switches) on(kind Kind, method, path string) (bool, <-chan struct{}) {
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

func (s *Switches) silentEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

func (s *Switches) announce() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}
