package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Digest is what gateways tell each other about suspects. Ages are used instead
// of times, since clocks of machines differ.
type Digest struct {
	Crashes     []Crash      `json:"crashes,omitempty"`
	Completions []Completion `json:"completions,omitempty"`
	Holds       []Hold       `json:"holds,omitempty"`
}

// Crash reports that an endpoint crashed while it ran a request with a key.
type Crash struct {
	Key Key `json:"seg"`
	// Endpoint identifies the endpoint's incarnation.
	Endpoint  uint64 `json:"ep"`
	AgeMillis int64  `json:"age_ms"`
	// RunMillis is the time from the sending of the request to the crash.
	RunMillis int64 `json:"run_ms,omitempty"`
	// Sole is set if no other segment of the request's prompt was suspect.
	Sole bool `json:"sole,omitempty"`
}

// Completion reports a complete response to a request with a suspect key.
type Completion struct {
	Key       Key   `json:"seg"`
	AgeMillis int64 `json:"age_ms"`
}

// Hold reports that a key is held, and for how long it has been.
type Hold struct {
	Key       Key   `json:"seg"`
	AgeMillis int64 `json:"age_ms"`
}

const (
	// newsTime is how long a gateway repeats what it has learned: a few heartbeats,
	// some of which may be lost. Held segments are repeated as long as they are held,
	// for gateways that have just started.
	newsTime = 3 * time.Second
	// suspicionTime is how long after a crash complete responses are reported.
	suspicionTime = 10 * time.Second
	// completionStep is by how much a reported completion has to be later than the known
	// one to count. Ages leave out the time that a message took, so a completion that
	// comes back looks a little later each time.
	completionStep = 200 * time.Millisecond
	// maxReported bounds each list of a Digest. The most suspect keys come first.
	maxReported = 32
)

// Digest returns what is to be told to other gateways now, nil if there is nothing. It
// also holds and releases keys whose time has come, so it has to be called
// regularly.
func (t *Tracker) Digest(now time.Time) *Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) == 0 {
		return nil
	}
	t.expire(now)
	t.evaluate(false, now)
	var d Digest
	for k, r := range t.records {
		if !r.heldAt.IsZero() {
			d.Holds = append(d.Holds, Hold{Key: k, AgeMillis: now.Sub(r.heldAt).Milliseconds()})
		}
		for endpoint, c := range r.crashes {
			if now.Sub(c.learnedAt) <= newsTime {
				d.Crashes = append(d.Crashes, Crash{Key: k, Endpoint: endpoint, AgeMillis: now.Sub(c.at).Milliseconds(), RunMillis: c.at.Sub(c.sentAt).Milliseconds(), Sole: c.sole})
			}
		}
		if now.Sub(r.suspectedAt) <= suspicionTime && now.Sub(r.completionLearnedAt) <= suspicionTime {
			d.Completions = append(d.Completions, Completion{Key: k, AgeMillis: now.Sub(r.completedAt).Milliseconds()})
		}
	}
	if len(d.Holds)+len(d.Crashes)+len(d.Completions) == 0 {
		return nil
	}
	slices.SortFunc(d.Holds, func(a, b Hold) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Key, b.Key))
	})
	slices.SortFunc(d.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(len(t.records[b.Key].crashes), len(t.records[a.Key].crashes)),
			cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Key, b.Key))
	})
	slices.SortFunc(d.Completions, func(a, b Completion) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Key, b.Key))
	})
	d.Holds = d.Holds[:min(len(d.Holds), maxReported)]
	d.Crashes = d.Crashes[:min(len(d.Crashes), maxReported)]
	d.Completions = d.Completions[:min(len(d.Completions), maxReported)]
	return &d
}

// Apply merges what another gateway told; d may be nil.
func (t *Tracker) Apply(d *Digest, now time.Time) {
	if d == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range d.Completions {
		t.applyCompletion(c, now)
	}
	for _, h := range d.Holds {
		t.applyHold(h, now)
	}
	for _, c := range d.Crashes {
		at := ago(c.AgeMillis, now)
		t.addCrash(c.Key, c.Endpoint, crash{sentAt: ago(c.RunMillis, at), at: at, learnedAt: now, reported: true, sole: c.Sole})
	}
	t.evaluate(true, now)
}

func (t *Tracker) applyCompletion(c Completion, now time.Time) {
	at := ago(c.AgeMillis, now)
	if r, ok := t.records[c.Key]; ok && at.Sub(r.completedAt) > completionStep {
		t.complete(c.Key, r, at, now, true)
	}
	if at.After(t.completed.get(c.Key)) {
		t.completed.set(c.Key, at)
	}
}

// applyHold holds a key that another gateway holds, unless a complete response has
// cleared it since.
func (t *Tracker) applyHold(h Hold, now time.Time) {
	at := ago(h.AgeMillis, now)
	r := t.record(h.Key, now)
	r.suspectedAt = now
	if r.heldAt.IsZero() && at.After(r.completedAt) && now.Sub(at) < HoldTime {
		t.hold(h.Key, at, true, now)
	}
}

// ago returns the time that lies so many milliseconds before now; a negative age counts
// as 0.
func ago(millis int64, now time.Time) time.Time {
	return now.Add(-time.Duration(max(millis, 0)) * time.Millisecond)
}
