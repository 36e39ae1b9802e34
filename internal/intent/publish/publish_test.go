package publish

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// withVariant returns files with the content of one replaced by a variant.
func withVariant(files []intent.File, name string, variant int) []intent.File {
	out := make([]intent.File, 0, len(files))
	for _, f := range files {
		if f.Name == name {
			f = file(name, contents[name][variant])
		}
		out = append(out, f)
	}
	return out
}

// applyWithoutFaults applies a change without faults.
func applyWithoutFaults(mem *memoryStore, ch Change) Outcome {
	a := startApply(mem, ch)
	a.run(nil)
	return a.outcome
}

func TestApplyRebasesChangesToDifferentFiles(t *testing.T) {
	mem, base := newSeededStore(t)
	ann := newChange("ann", withVariant(startFiles(), "routing.yaml", 1), base)
	bob := newChange("bob", withVariant(startFiles(), "customers.yaml", 1), base)
	require.Equal(t, uint64(2), applyWithoutFaults(mem, ann).(Accepted).Revision)
	second := applyWithoutFaults(mem, bob).(Accepted)
	require.Equal(t, uint64(3), second.Revision)
	require.Equal(t, []string{"routing.yaml"}, second.Kept)
	checkHistory(t, mem, map[string]Change{ann.ID: ann, bob.ID: bob})
	again := newChange("bob", bob.Files, &Base{Revision: 3, Files: FileRefs(bob.Files)})
	require.True(t, applyWithoutFaults(mem, again).(Accepted).Unchanged, "the folder's outdated routing.yaml does not revert the other change")
}

func TestApplyNamesTheOtherChangeInAConflict(t *testing.T) {
	mem, base := newSeededStore(t)
	ann := newChange("ann", withVariant(startFiles(), "routing.yaml", 1), base)
	eve := newChange("eve", withVariant(startFiles(), "customers.yaml", 1), base)
	bob := newChange("bob", withVariant(startFiles(), "routing.yaml", 2), base)
	applyWithoutFaults(mem, ann)
	applyWithoutFaults(mem, eve)
	reason := applyWithoutFaults(mem, bob).(Rejected).Reason
	var conflict *ConflictError
	require.ErrorAs(t, reason, &conflict)
	require.Len(t, conflict.Files, 1)
	require.Equal(t, "routing.yaml", conflict.Files[0].File)
	require.Equal(t, ann.ID, conflict.Files[0].ChangeID)
	require.Equal(t, "ann", conflict.Files[0].Author)
	require.Equal(t, uint64(2), conflict.Files[0].Revision)
}

func TestApplyRejects(t *testing.T) {
	mem, base := newSeededStore(t)
	require.Equal(t, uint64(2), applyWithoutFaults(mem, newChange("ann", withVariant(startFiles(), "regions.yaml", 2), base)).(Accepted).Revision)

	var invalid *InvalidError
	merged := newChange("bob", withVariant(startFiles(), "customers.yaml", 2), base)
	require.ErrorAs(t, applyWithoutFaults(mem, merged).(Rejected).Reason, &invalid)
	require.Contains(t, invalid.Diagnostics.String(), `unknown region "north"`)

	var noBase *NoBaseError
	require.ErrorAs(t, applyWithoutFaults(mem, newChange("bob", startFiles(), nil)).(Rejected).Reason, &noBase)

	var behind *StoreBehindError
	later := &Base{Revision: 7, Files: base.Files}
	require.ErrorAs(t, applyWithoutFaults(mem, newChange("bob", startFiles(), later)).(Rejected).Reason, &behind)

	replace := Change{Author: "bob", Files: startFiles(), Replace: true}
	replace.ID = NewChangeID(replace)
	require.Equal(t, uint64(3), applyWithoutFaults(mem, replace).(Accepted).Revision)

	edited := newChange("bob", startFiles(), base)
	edited.Files = withVariant(startFiles(), "routing.yaml", 2)
	a := startApply(mem, edited)
	a.run(nil)
	var mismatch *ChangeIDMismatchError
	require.ErrorAs(t, a.err, &mismatch)

	delete(mem.entries, revision.HeadKey)
	var chain *ChainError
	require.ErrorAs(t, applyWithoutFaults(mem, newChange("bob", startFiles(), nil)).(Rejected).Reason, &chain)
}

func TestHistoryWalksTheLog(t *testing.T) {
	mem, base := newSeededStore(t)
	applyWithoutFaults(mem, newChange("ann", withVariant(startFiles(), "routing.yaml", 1), base))
	applyWithoutFaults(mem, newChange("bob", withVariant(startFiles(), "customers.yaml", 1), base))
	a := &runningApply{client: &client{calls: make(chan pendingCall), mem: mem}, done: make(chan struct{})}
	var list []revision.Head
	go func() {
		defer close(a.done)
		list, a.err = New(a.client, Options{}).History(t.Context(), 10)
	}()
	a.run(nil)
	require.NoError(t, a.err)
	require.Len(t, list, 3)
	require.Equal(t, "bob", list[0].Author)
	require.Equal(t, "seed", list[2].Author)
}

// callsOfApply returns the number of calls that Apply makes without faults.
func callsOfApply(t *testing.T) int {
	mem, base := newSeededStore(t)
	steps, _ := startApply(mem, newChange("ann", withVariant(startFiles(), "routing.yaml", 1), base)).run(nil)
	require.Greater(t, steps, 4)
	return steps
}

// TestEachFaultAtEachStep injects every fault into every call of Apply, with and
// without a concurrent change, resumes the change if Apply was killed or its
// outcome is unknown, and checks the history and all outcomes.
func TestEachFaultAtEachStep(t *testing.T) {
	for step := 1; step <= callsOfApply(t)+2; step++ {
		for _, f := range faults[1:] {
			for race := range races {
				t.Run(fmt.Sprintf("step %d/%s/%s", step, f, races[race]), func(t *testing.T) {
					testFaultsInApply(t, faultScript{step: f}, race)
				})
			}
		}
	}
}

// TestPairsOfFaults does the same with two faults in one call of Apply.
func TestPairsOfFaults(t *testing.T) {
	last := callsOfApply(t) + 4
	for first := 1; first < last; first++ {
		for second := first + 1; second <= last; second++ {
			t.Run(fmt.Sprintf("steps %d and %d", first, second), func(t *testing.T) {
				t.Parallel()
				for _, f := range faults[1:] {
					for _, g := range faults[1:] {
						for race := range races {
							t.Logf("%s, %s, %s", f, g, races[race])
							testFaultsInApply(t, faultScript{first: f, second: g}, race)
						}
					}
				}
			})
		}
	}
}

// races describes the concurrent changes that are published between an Apply with
// faults and its delayed effects.
var races = []string{"no race", "another file", "the same file"}

func testFaultsInApply(t *testing.T, faults faultScript, race int) {
	mem, base := newSeededStore(t)
	ann := newChange("ann", withVariant(startFiles(), "routing.yaml", 1), base)
	changes := map[string]Change{ann.ID: ann}
	first := startApply(mem, ann)
	_, delayed := first.run(faults)
	if race > 0 {
		name := []string{"", "customers.yaml", "routing.yaml"}[race]
		bob := newChange("bob", withVariant(startFiles(), name, 2), base)
		changes[bob.ID] = bob
		applyWithoutFaults(mem, bob)
	}
	for _, effect := range delayed {
		effect()
	}
	finished := []*runningApply{first}
	_, unknown := first.outcome.(Unknown)
	require.True(t, first.killed || first.unreachable || !unknown || len(faults) > 1, "a fault in one call leaves no unknown outcome")
	if first.killed || unknown {
		resumed := ann
		resumed.Resumed = true
		second := startApply(mem, resumed)
		second.run(nil)
		_, unknown = second.outcome.(Unknown)
		require.False(t, unknown, "the outcome of a resumed change is known")
		finished = append(finished, second)
	}
	ids := checkHistory(t, mem, changes)
	for _, v := range finished {
		if !v.killed {
			checkOutcome(t, v, ids)
		}
	}
}

// operator edits and publishes a folder several times.
type operator struct {
	name    string
	files   []intent.File
	base    *Base
	edits   int
	running *runningApply
	call    pendingCall
	waiting bool
	// resume is a change with an unknown outcome, to be resumed first.
	resume *Change
}

// simulation is one random run of concurrent operators.
type simulation struct {
	t              *rapid.T
	mem            *memoryStore
	operators      []*operator
	changes        map[string]Change
	finished       []*runningApply
	delayedEffects []func()
	// faultsLeft bounds the number of faults, so that every run ends.
	faultsLeft int
}

const (
	maxEdits  = 3
	maxFaults = 12
)

func TestRacingOperatorsUnderFaults(t *testing.T) {
	faultsByStep := make(map[Step]map[fault]int)
	defer func() { requireEachFaultAtEachStep(t, faultsByStep) }()
	rapid.Check(t, func(t *rapid.T) {
		mem, base := newSeededStore(t)
		mem.faultsByStep = faultsByStep
		s := &simulation{t: t, mem: mem, changes: make(map[string]Change), faultsLeft: maxFaults}
		for i := range rapid.IntRange(2, 4).Draw(t, "operators") {
			s.operators = append(s.operators, &operator{name: fmt.Sprintf("op%d", i), files: startFiles(), base: base})
		}
		for s.step() {
		}
		for _, effect := range s.delayedEffects {
			effect()
		}
		ids := checkHistory(t, mem, s.changes)
		for _, v := range s.finished {
			checkOutcome(t, v, ids)
		}
	})
}

// requireEachFaultAtEachStep checks that each fault was injected at each step.
func requireEachFaultAtEachStep(t *testing.T, faultsByStep map[Step]map[fault]int) {
	for _, s := range Steps {
		for _, f := range faults {
			require.NotZero(t, faultsByStep[s][f], "step %s with fault %s", s, f)
		}
	}
}

// step serves one operator's call or applies one delayed effect. It returns false
// when all operators are done.
func (s *simulation) step() bool {
	var live []*operator
	for _, o := range s.operators {
		if s.advance(o) {
			live = append(live, o)
		}
	}
	if len(live) == 0 {
		return false
	}
	if len(s.delayedEffects) > 0 && rapid.IntRange(0, 2).Draw(s.t, "late effect") == 0 {
		i := rapid.IntRange(0, len(s.delayedEffects)-1).Draw(s.t, "which")
		s.delayedEffects[i]()
		s.delayedEffects = append(s.delayedEffects[:i:i], s.delayedEffects[i+1:]...)
		return true
	}
	o := rapid.SampledFrom(live).Draw(s.t, "turn")
	f := none
	if s.faultsLeft > 0 && rapid.IntRange(0, 3).Draw(s.t, "faulty") == 0 {
		f = rapid.SampledFrom(faults[1:]).Draw(s.t, "fault")
		s.faultsLeft--
	}
	o.waiting = false
	if delayed := o.running.serve(o.call, f); delayed != nil {
		s.delayedEffects = append(s.delayedEffects, delayed)
	}
	return true
}

// advance runs o to its next call. It returns false when o has no more edits.
func (s *simulation) advance(o *operator) bool {
	for !o.waiting {
		if o.running == nil && !s.startChange(o) {
			return false
		}
		o.call, o.waiting = o.running.next()
		if !o.waiting {
			s.recordOutcome(o)
		}
	}
	return true
}

// startChange starts o's next change, or resumes the one with an unknown outcome.
func (s *simulation) startChange(o *operator) bool {
	if o.resume != nil {
		ch := *o.resume
		ch.Resumed = true
		o.resume = nil
		o.running = startApply(s.mem, ch)
		return true
	}
	if o.edits == maxEdits {
		return false
	}
	o.edits++
	names := FileRefs(startFiles())
	name := rapid.SampledFrom(names).Draw(s.t, "file").Name
	o.files = withVariant(o.files, name, rapid.IntRange(0, 2).Draw(s.t, "content"))
	ch := newChange(o.name, o.files, o.base)
	s.changes[ch.ID] = ch
	o.running = startApply(s.mem, ch)
	return true
}

// recordOutcome handles the outcome of o's change.
func (s *simulation) recordOutcome(o *operator) {
	a := o.running
	o.running = nil
	if a.killed {
		o.resume = &a.change
		return
	}
	s.finished = append(s.finished, a)
	switch out := a.outcome.(type) {
	case Accepted:
		o.base = &Base{Revision: out.Revision, Files: FileRefs(o.files)}
	case Unknown:
		o.resume = &a.change
	case Rejected:
		s.pull(o)
	}
}

// pull replaces o's folder with the newest revision.
func (s *simulation) pull(o *operator) {
	head := s.mem.heads[len(s.mem.heads)-1]
	o.files = nil
	for _, f := range head.Files {
		o.files = append(o.files, intent.File{Name: f.Name, Content: s.mem.entries[revision.BlobKey(f.SHA256)].Value})
	}
	o.base = &Base{Revision: head.Revision, Files: head.Files}
}
