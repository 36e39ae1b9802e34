package publish

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// withVariant returns files with one content replaced.
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

// applyWithoutFaults runs a change without faults.
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
	require.True(t, applyWithoutFaults(mem, again).(Accepted).Unchanged, "the folder's old routing.yaml reverts nothing")
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

// callsOfApply returns the number of calls of an apply without faults.
func callsOfApply(t *testing.T) int {
	mem, base := newSeededStore(t)
	steps, _ := startApply(mem, newChange("ann", withVariant(startFiles(), "routing.yaml", 1), base)).run(nil)
	require.Greater(t, steps, 4)
	return steps
}

// TestEachFaultAtEachStep lets every call of an apply meet every fault, lets
// a racing change in or not, resumes what was killed or is unknown, and checks
// the chain and each verdict.
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

// TestPairsOfFaults does the same with two faults in one apply.
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

// races are the changes that come between a faulty apply and its late effects.
var races = []string{"no race", "another file", "the same file"}

func testFaultsInApply(t *testing.T, faults faultScript, race int) {
	mem, base := newSeededStore(t)
	ann := newChange("ann", withVariant(startFiles(), "routing.yaml", 1), base)
	changes := map[string]Change{ann.ID: ann}
	first := startApply(mem, ann)
	_, later := first.run(faults)
	if race > 0 {
		name := []string{"", "customers.yaml", "routing.yaml"}[race]
		bob := newChange("bob", withVariant(startFiles(), name, 2), base)
		changes[bob.ID] = bob
		applyWithoutFaults(mem, bob)
	}
	for _, effect := range later {
		effect()
	}
	verdicts := []*runningApply{first}
	_, unknown := first.outcome.(Unknown)
	require.True(t, first.killed || first.unreachable || !unknown || len(faults) > 1, "a fault of one call leaves nothing unknown")
	if first.killed || unknown {
		resumed := ann
		resumed.Resumed = true
		second := startApply(mem, resumed)
		second.run(nil)
		_, unknown = second.outcome.(Unknown)
		require.False(t, unknown, "a resumed change is settled")
		verdicts = append(verdicts, second)
	}
	ids := checkHistory(t, mem, changes)
	for _, v := range verdicts {
		if !v.killed {
			checkOutcome(t, v, ids)
		}
	}
}

// operator works on a folder through several changes.
type operator struct {
	name    string
	files   []intent.File
	base    *Base
	edits   int
	running *runningApply
	call    pendingCall
	waiting bool
	// resume is the change that must be settled first.
	resume *Change
}

// simulation is one drawn history of racing operators.
type simulation struct {
	t        *rapid.T
	mem      *memoryStore
	operators      []*operator
	changes  map[string]Change
	finished []*runningApply
	delayedEffects     []func()
	// faultsLeft bounds the faults, so that every history ends.
	faultsLeft int
}

const (
	maxEdits  = 3
	maxFaults = 12
)

func TestRacingOperatorsUnderFaults(t *testing.T) {
	met := make(map[Step]map[fault]int)
	defer func() { requireEachFaultAtEachStep(t, met) }()
	rapid.Check(t, func(t *rapid.T) {
		mem, base := newSeededStore(t)
		mem.faultsByStep = met
		w := &simulation{t: t, mem: mem, changes: make(map[string]Change), faultsLeft: maxFaults}
		for i := range rapid.IntRange(2, 4).Draw(t, "operators") {
			w.operators = append(w.operators, &operator{name: fmt.Sprintf("op%d", i), files: startFiles(), base: base})
		}
		for w.step() {
		}
		for _, effect := range w.delayedEffects {
			effect()
		}
		ids := checkHistory(t, mem, w.changes)
		for _, v := range w.finished {
			checkOutcome(t, v, ids)
		}
	})
}

// requireEachFaultAtEachStep checks that each step has met each fault.
func requireEachFaultAtEachStep(t *testing.T, met map[Step]map[fault]int) {
	for _, s := range Steps {
		for _, f := range faults {
			require.NotZero(t, met[s][f], "%s met %s", s, f)
		}
	}
}

// step lets one operator go on, or one late effect come; false at the end.
func (w *simulation) step() bool {
	var live []*operator
	for _, o := range w.operators {
		if w.advance(o) {
			live = append(live, o)
		}
	}
	if len(live) == 0 {
		return false
	}
	if len(w.delayedEffects) > 0 && rapid.IntRange(0, 2).Draw(w.t, "late effect") == 0 {
		i := rapid.IntRange(0, len(w.delayedEffects)-1).Draw(w.t, "which")
		w.delayedEffects[i]()
		w.delayedEffects = append(w.delayedEffects[:i:i], w.delayedEffects[i+1:]...)
		return true
	}
	o := rapid.SampledFrom(live).Draw(w.t, "turn")
	f := none
	if w.faultsLeft > 0 && rapid.IntRange(0, 3).Draw(w.t, "faulty") == 0 {
		f = rapid.SampledFrom(faults[1:]).Draw(w.t, "fault")
		w.faultsLeft--
	}
	o.waiting = false
	if later := o.running.serve(o.call, f); later != nil {
		w.delayedEffects = append(w.delayedEffects, later)
	}
	return true
}

// advance takes o to its next call; false when it has no more edits.
func (w *simulation) advance(o *operator) bool {
	for !o.waiting {
		if o.running == nil && !w.startChange(o) {
			return false
		}
		o.call, o.waiting = o.running.next()
		if !o.waiting {
			w.recordOutcome(o)
		}
	}
	return true
}

// startChange starts o's next change, or resumes the one that is not settled.
func (w *simulation) startChange(o *operator) bool {
	if o.resume != nil {
		ch := *o.resume
		ch.Resumed = true
		o.resume = nil
		o.running = startApply(w.mem, ch)
		return true
	}
	if o.edits == maxEdits {
		return false
	}
	o.edits++
	names := FileRefs(startFiles())
	name := rapid.SampledFrom(names).Draw(w.t, "file").Name
	o.files = withVariant(o.files, name, rapid.IntRange(0, 2).Draw(w.t, "content"))
	ch := newChange(o.name, o.files, o.base)
	w.changes[ch.ID] = ch
	o.running = startApply(w.mem, ch)
	return true
}

// recordOutcome takes in what o was told.
func (w *simulation) recordOutcome(o *operator) {
	a := o.running
	o.running = nil
	if a.killed {
		o.resume = &a.change
		return
	}
	w.finished = append(w.finished, a)
	switch out := a.outcome.(type) {
	case Accepted:
		o.base = &Base{Revision: out.Revision, Files: FileRefs(o.files)}
	case Unknown:
		o.resume = &a.change
	case Rejected:
		w.pull(o)
	}
}

// pull gives o the newest files.
func (w *simulation) pull(o *operator) {
	head := w.mem.heads[len(w.mem.heads)-1]
	o.files = nil
	for _, f := range head.Files {
		o.files = append(o.files, intent.File{Name: f.Name, Content: w.mem.entries[revision.BlobKey(f.SHA256)].Value})
	}
	o.base = &Base{Revision: head.Revision, Files: head.Files}
}
