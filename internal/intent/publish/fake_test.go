package publish

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// TestMain sets a fixed seed for the property tests. On the command line,
// -rapid.seed=0 selects a random seed and -rapid.checks the number of runs.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// fault is a fault injected into one call on the store.
type fault int

const (
	none fault = iota
	refused
	lostRequest
	lostResponse
	// delayedEffect: the caller gets no response, and the call takes effect at a
	// later step.
	delayedEffect
	killBefore
	killAfter
	// killDelayedEffect: the operator's process is killed, and the call takes
	// effect at a later step.
	killDelayedEffect
	// outage: like delayedEffect, and all further calls of this run fail.
	outage
)

var faults = []fault{none, refused, lostRequest, lostResponse, delayedEffect, killBefore, killAfter, killDelayedEffect, outage}

func (f fault) String() string {
	return [...]string{"none", "refused", "lost request", "lost answer", "late", "kill before", "kill after", "kill late", "outage"}[f]
}

// memoryStore is a store in memory. Only one goroutine may use it at a time.
type memoryStore struct {
	entries map[string]platform.Entry
	heads   []revision.Head
	// headSwapped reports that the last write of the head took effect.
	headSwapped bool
	// faultsByStep counts the faults injected at each step.
	faultsByStep map[Step]map[fault]int
}

func newMemoryStore() *memoryStore { return &memoryStore{entries: make(map[string]platform.Entry)} }

func (m *memoryStore) get(key string) (platform.Entry, error) {
	e, ok := m.entries[key]
	if !ok {
		return e, &platform.NotFoundError{Key: key}
	}
	return e, nil
}

func (m *memoryStore) put(key string, value []byte, ifVersion *uint64) (platform.Entry, error) {
	old := m.entries[key]
	if key == revision.HeadKey {
		m.headSwapped = ifVersion != nil && *ifVersion == old.Version
	}
	if ifVersion != nil && *ifVersion != old.Version {
		return old, &platform.ConflictError{Key: key, ActualVersion: old.Version}
	}
	e := platform.Entry{Key: key, Value: value, Version: old.Version + 1}
	m.entries[key] = e
	if key == revision.HeadKey {
		h, err := revision.ParseHead(value)
		if err != nil {
			panic(err)
		}
		m.heads = append(m.heads, h)
	}
	return e, nil
}

// pendingCall is a call that waits to be served.
type pendingCall struct {
	key    string
	write  bool
	effect func() (platform.Entry, error)
	result chan callResult
}

type callResult struct {
	entry platform.Entry
	err   error
}

// client is one operator's connection to the store. Each call waits until serve
// handles it.
type client struct {
	platform.Store
	calls  chan pendingCall
	mem    *memoryStore
	kill   context.CancelFunc
	killed bool
	// unreachable reports that the store can't be reached any more.
	unreachable bool
}

func (c *client) call(key string, write bool, effect func() (platform.Entry, error)) (platform.Entry, error) {
	if c.killed || c.unreachable {
		return platform.Entry{}, &platform.UnavailableError{Op: "down", Cause: context.Canceled}
	}
	p := pendingCall{key: key, write: write, effect: effect, result: make(chan callResult)}
	c.calls <- p
	r := <-p.result
	return r.entry, r.err
}

func (c *client) Get(_ context.Context, key string) (platform.Entry, error) {
	return c.call(key, false, func() (platform.Entry, error) { return c.mem.get(key) })
}

func (c *client) Put(_ context.Context, key string, value []byte, o platform.PutOptions) (platform.Entry, error) {
	return c.call(key, true, func() (platform.Entry, error) { return c.mem.put(key, value, o.IfVersion) })
}

func (m *memoryStore) recordFault(p pendingCall, f fault) {
	if m.faultsByStep == nil {
		return
	}
	step := m.stepOf(p)
	if m.faultsByStep[step] == nil {
		m.faultsByStep[step] = make(map[fault]int)
	}
	m.faultsByStep[step][f]++
}

// serve handles p with the fault injected. It returns the effect of a delayed call.
func (c *client) serve(p pendingCall, f fault) (delayed func()) {
	c.mem.recordFault(p, f)
	lost := &platform.UnavailableError{Op: p.key, MaybeApplied: p.write, Cause: context.DeadlineExceeded}
	switch f {
	case none:
		e, err := p.effect()
		p.result <- callResult{e, err}
		return nil
	case refused:
		p.result <- callResult{err: &platform.UnavailableError{Op: p.key, Cause: context.DeadlineExceeded}}
		return nil
	case lostResponse, killAfter:
		_, _ = p.effect()
	case delayedEffect, killDelayedEffect, outage:
		if p.write {
			delayed = func() { _, _ = p.effect() }
		}
	}
	c.unreachable = f == outage
	if f == killBefore || f == killAfter || f == killDelayedEffect {
		c.killed = true
		c.kill()
	}
	p.result <- callResult{err: lost}
	return delayed
}

// stepOf returns the step of Apply that a call belongs to.
func (m *memoryStore) stepOf(p pendingCall) Step {
	switch {
	case p.key == revision.HeadKey && p.write:
		return StepSwapHead
	case p.key == revision.HeadKey:
		return StepReadHead
	case strings.HasPrefix(p.key, revision.BlobPrefix) && p.write:
		return StepWriteBlob
	case strings.HasPrefix(p.key, revision.BlobPrefix):
		return StepReadBlob
	case !p.write:
		return StepReadLog
	case m.headSwapped:
		return StepWriteOwnLog
	}
	return StepWriteParentLog
}

// runningApply is a call of Apply in progress.
type runningApply struct {
	*client
	change  Change
	done    chan struct{}
	outcome Outcome
	err     error
}

func startApply(mem *memoryStore, ch Change) *runningApply {
	ctx, cancel := context.WithCancel(context.Background())
	a := &runningApply{
		client: &client{calls: make(chan pendingCall), mem: mem, kill: cancel},
		change: ch,
		done:   make(chan struct{}),
	}
	p := New(a.client, Options{
		MaxCallAttempts: 3,
		MaxSwapAttempts: 6,
		Now:             func() time.Time { return time.Unix(1800000000, 0) },
		Sleep:           func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
	})
	go func() {
		defer close(a.done)
		defer cancel()
		a.outcome, a.err = p.Apply(ctx, ch)
	}()
	return a
}

// next waits for the next call. It returns false when Apply has returned.
func (a *runningApply) next() (pendingCall, bool) {
	select {
	case p := <-a.calls:
		return p, true
	case <-a.done:
		return pendingCall{}, false
	}
}

// faultScript maps the number of a call, counted from 1, to its fault.
type faultScript map[int]fault

// run serves every call with the faults of the script. It returns the number of
// calls and the effects of delayed calls.
func (a *runningApply) run(faults faultScript) (calls int, delayed []func()) {
	for {
		p, ok := a.next()
		if !ok {
			return calls, delayed
		}
		calls++
		if effect := a.serve(p, faults[calls]); effect != nil {
			delayed = append(delayed, effect)
		}
	}
}

func file(name, content string) intent.File {
	return intent.File{Name: name, Content: []byte(content)}
}

// contents holds variants of three files. The last variants of regions.yaml, which
// lacks region north, and of customers.yaml, which has a customer there, are valid
// on their own but not together.
var contents = map[string][]string{
	"regions.yaml": {
		"regions: {south: {data_centres: [s1]}, north: {data_centres: [n1]}}\nlinks: {'*': {}}",
		"regions: {south: {data_centres: [s1, s2]}, north: {data_centres: [n1]}}\nlinks: {'*': {}}",
		"regions: {south: {data_centres: [s1]}}",
	},
	"customers.yaml": {
		"customers: {a: {home: south, key_hashes: []}}",
		"customers: {a: {home: south, priority: 3}}",
		"customers: {a: {home: north}}",
	},
	"routing.yaml": {"routing: {retry_ratio: 0.1}", "routing: {retry_ratio: 0.2}", "routing: {retry_ratio: 0.3}"},
}

func startFiles() []intent.File {
	var files []intent.File
	for name, list := range contents {
		files = append(files, file(name, list[0]))
	}
	slices.SortFunc(files, func(a, b intent.File) int { return slices.Compare([]byte(a.Name), []byte(b.Name)) })
	return files
}

func newChange(author string, files []intent.File, base *Base) Change {
	ch := Change{Author: author, Files: files, Base: base}
	ch.ID = NewChangeID(ch)
	return ch
}

// seedStore returns a shared store that holds startFiles as revision 1.
var seedStore = sync.OnceValue(func() *memoryStore {
	mem := newMemoryStore()
	startApply(mem, newChange("seed", startFiles(), nil)).run(nil)
	return mem
})

// newSeededStore returns a new store that holds startFiles as revision 1.
func newSeededStore(t require.TestingT) (*memoryStore, *Base) {
	mem := &memoryStore{entries: maps.Clone(seedStore().entries), heads: slices.Clone(seedStore().heads)}
	require.Len(t, mem.heads, 1)
	return mem, &Base{Revision: 1, Files: FileRefs(startFiles())}
}

// checkHistory checks that revisions are consecutive, that all are in the log and
// valid, that no change id occurs twice, and that each revision differs from the
// previous one by its own change only. It returns the revisions by change id.
func checkHistory(t require.TestingT, mem *memoryStore, changes map[string]Change) map[string]uint64 {
	ids := make(map[string]uint64)
	var parent fileDigests
	var parentRaw []byte
	for i, h := range mem.heads {
		require.Equal(t, uint64(i+1), h.Revision, "revisions are consecutive")
		raw, err := h.Encode()
		require.NoError(t, err)
		if h.Revision < uint64(len(mem.heads)) {
			e, ok := mem.entries[revision.LogKey(h.Revision)]
			require.True(t, ok, "revision %d is in the log", h.Revision)
			require.Equal(t, raw, e.Value)
		}
		if parentRaw != nil {
			require.Equal(t, revision.Digest(parentRaw), h.ParentDigest)
		}
		require.NotContains(t, ids, h.ChangeID, "a change id occurs once")
		ids[h.ChangeID] = h.Revision
		checkValid(t, mem, h)
		if ch, ok := changes[h.ChangeID]; ok {
			checkOwnChange(t, ch, parent, fileDigestsOf(h.Files))
		}
		parent, parentRaw = fileDigestsOf(h.Files), raw
	}
	return ids
}

// knownValid caches the lists of files that are known to be valid.
var knownValid sync.Map

func checkValid(t require.TestingT, mem *memoryStore, h revision.Head) {
	list := fmt.Sprint(h.Files)
	if _, ok := knownValid.Load(list); ok {
		return
	}
	var files []intent.File
	for _, f := range h.Files {
		e, ok := mem.entries[revision.BlobKey(f.SHA256)]
		require.True(t, ok, "the blob of %s exists", f.Name)
		files = append(files, intent.File{Name: f.Name, Content: e.Value})
	}
	in, diags := intent.Parse(files)
	require.NotNil(t, in, "revision %d is valid: %s", h.Revision, diags)
	knownValid.Store(list, true)
}

func checkOwnChange(t require.TestingT, ch Change, before, after fileDigests) {
	base, mine := fileDigests{}, fileDigestsOf(FileRefs(ch.Files))
	if ch.Base != nil {
		base = fileDigestsOf(ch.Base.Files)
	}
	for _, name := range unionNames(base, mine, before, after) {
		if base[name] == mine[name] {
			require.Equal(t, before[name], after[name], "%s is not part of the change", name)
			continue
		}
		require.Equal(t, mine[name], after[name], "%s is part of the change", name)
		require.Contains(t, []string{base[name], mine[name]}, before[name], "%s was not changed by others", name)
	}
}

// checkOutcome checks that the outcome of a agrees with the history, given as
// revisions by change id.
func checkOutcome(t require.TestingT, a *runningApply, ids map[string]uint64) {
	require.NoError(t, a.err)
	rev, published := ids[a.change.ID]
	switch o := a.outcome.(type) {
	case Accepted:
		if o.Unchanged {
			require.False(t, published, "unchanged, but in the history")
			return
		}
		require.True(t, published, "accepted, but not in the history")
		require.Equal(t, rev, o.Revision)
	case Rejected:
		require.False(t, published, fmt.Sprintf("rejected (%v), but in the history", o.Reason))
	}
}
