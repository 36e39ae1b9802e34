package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	start    = time.Unix(1_700_000_000, 0)
	regionOf = map[string]string{"north-a": "north", "south-a": "south"}
)

const heartbeatInterval = 1200 * time.Millisecond

func at(d time.Duration) time.Time { return start.Add(d) }

func ready(id string, incarnation, seq int64) *Endpoint {
	return &Endpoint{ID: id, Incarnation: incarnation, Sequence: seq, Service: "s", Address: "10.0.0.1:80", DataCentre: "north-a", Slots: 4}
}

func leaving(id string, incarnation, seq int64) *Endpoint {
	e := ready(id, incarnation, seq)
	e.State = Draining
	return e
}

func usable(r *Registry, now time.Time) []string {
	var ids []string
	for _, b := range r.Usable("s", heartbeatInterval, now) {
		ids = append(ids, b.ID)
	}
	return ids
}

func TestRegistryAppliesEntries(t *testing.T) {
	r := NewRegistry(regionOf)
	changes := r.Apply([]Entry{{ID: "b", Endpoint: ready("b", 1, 1)}, {ID: "a", Endpoint: ready("a", 1, 1)}}, start)
	require.Equal(t, []Change{{ID: "b", Kind: ChangeNew}, {ID: "a", Kind: ChangeNew}}, changes)
	require.Equal(t, []string{"a", "b"}, usable(r, start))
	b, ok := r.Get("a")
	require.True(t, ok)
	require.Equal(t, "north", b.Region)
	unknown := ready("c", 1, 1)
	unknown.DataCentre = "elsewhere"
	require.Empty(t, r.Apply([]Entry{{ID: "c", Endpoint: unknown}}, start))
	require.Equal(t, []Change{{ID: "a", Kind: ChangeRemoved, Address: "10.0.0.1:80"}}, r.Replace([]Entry{{ID: "b", Endpoint: ready("b", 1, 2)}}, start))
}

// TestLeavingMarkLastsForTheIncarnation checks that no later entry of the same
// incarnation lifts the mark, and that a new incarnation doesn't carry it.
func TestLeavingMarkLastsForTheIncarnation(t *testing.T) {
	r := NewRegistry(regionOf)
	r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 5, 1)}}, start)
	require.Equal(t, []Change{{ID: "a", Kind: ChangeLeaving}}, r.Apply([]Entry{{ID: "a", Endpoint: leaving("a", 5, 2)}}, start))
	for _, late := range []*Endpoint{ready("a", 5, 1), ready("a", 5, 3), ready("a", 4, 9)} {
		r.Apply([]Entry{{ID: "a", Endpoint: late}}, start)
		require.Empty(t, usable(r, start))
	}
	r.Apply([]Entry{{ID: "a", Deleted: true}}, start)
	r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 5, 4)}}, start)
	require.Empty(t, usable(r, start), "the mark outlives the deletion of the entry")
	changes := r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 6, 1)}}, start)
	require.Contains(t, changes, Change{ID: "a", Kind: ChangeRestarted})
	require.Equal(t, []string{"a"}, usable(r, start))
}

func TestInvalidEntryRemovesItsEndpoint(t *testing.T) {
	r := NewRegistry(regionOf)
	r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 1, 1)}, {ID: "b", Endpoint: ready("b", 1, 1)}}, start)
	require.Equal(t, []Change{{ID: "a", Kind: ChangeInvalid}}, r.Apply([]Entry{{ID: "a"}}, start))
	require.Equal(t, []string{"b"}, usable(r, start))
	r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 1, 2)}}, start)
	require.Equal(t, []string{"a", "b"}, usable(r, start))
}

// TestLapsedEntriesAreUsedDuringTheGrace covers a store outage in which entries
// expire: one endpoint writes its entry again, the other is gone.
func TestLapsedEntriesAreUsedDuringTheGrace(t *testing.T) {
	r := NewRegistry(regionOf)
	r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 1, 1)}, {ID: "b", Endpoint: ready("b", 1, 1)}}, start)
	back := at(20 * time.Second)
	r.RecordStoreRecovery(back)
	require.Len(t, r.Replace(nil, back), 2)
	require.Equal(t, []string{"a", "b"}, usable(r, back), "both are used during the grace")
	require.Empty(t, r.Entries(back), "missing entries are not passed on to peers")
	require.Equal(t, []Change{{ID: "a", Kind: ChangeReappeared}}, r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 1, 9)}}, back.Add(time.Second)))
	require.Equal(t, []Change{{ID: "b", Kind: ChangeRemoved, Address: "10.0.0.1:80"}}, r.RemoveExpired(back.Add(ReregistrationGrace)))
	require.Equal(t, []string{"a"}, usable(r, back.Add(ReregistrationGrace)))
	r.Apply([]Entry{{ID: "a", Deleted: true}}, back.Add(ReregistrationGrace+time.Millisecond))
	require.Empty(t, usable(r, back.Add(ReregistrationGrace)), "deletions after the grace apply at once")
}

func TestLeavingEndpointsGetNoGrace(t *testing.T) {
	r := NewRegistry(regionOf)
	r.Apply([]Entry{{ID: "a", Endpoint: leaving("a", 1, 1)}}, start)
	r.RecordStoreRecovery(start)
	require.Equal(t, []Change{{ID: "a", Kind: ChangeRemoved, Address: "10.0.0.1:80"}}, r.Apply([]Entry{{ID: "a", Deleted: true}}, start))
}

func TestEvacuation(t *testing.T) {
	r := NewRegistry(regionOf)
	r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 1, 1)}}, start)
	r.SetEvacuated(map[string]bool{"north-a": true}, start)
	require.Empty(t, usable(r, start))
	evacuationEnded := at(10 * time.Second)
	r.SetEvacuated(nil, evacuationEnded)
	list := r.Usable("s", heartbeatInterval, evacuationEnded)
	require.Len(t, list, 1)
	require.True(t, list[0].IsCold(heartbeatInterval, evacuationEnded), "it may be cold before its entry says so")
	r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 1, 2)}}, evacuationEnded.Add(time.Second))
	list = r.Usable("s", heartbeatInterval, evacuationEnded.Add(time.Second))
	require.False(t, list[0].IsCold(heartbeatInterval, evacuationEnded.Add(time.Second)))
}

func TestColdAndAddressTaken(t *testing.T) {
	r := NewRegistry(regionOf)
	cold := ready("a", 1, 1)
	cold.ColdRemaining = 2 * time.Second
	r.Apply([]Entry{{ID: "a", Endpoint: cold}}, start)
	isCold := func(now time.Time) bool {
		b, ok := r.Get("a")
		require.True(t, ok)
		return b.IsCold(heartbeatInterval, now)
	}
	require.True(t, isCold(at(2*time.Second)))
	require.False(t, isCold(at(3*time.Second)))
	r.MarkUnreachable("a", 1, at(3*time.Second))
	require.True(t, isCold(at(4*time.Second)), "it may have restarted")
	require.False(t, isCold(at(8*time.Second)))
	r.MarkAddressTaken("a", 1, at(8*time.Second))
	require.Empty(t, usable(r, at(9*time.Second)))
	require.NotEmpty(t, usable(r, at(13*time.Second)))
	r.MarkAddressTaken("a", 0, at(13*time.Second))
	require.NotEmpty(t, usable(r, at(13*time.Second)), "marks of an earlier incarnation are ignored")
}

// TestEntryReadAgainDoesNotMakeEndpointWarm guards against a list fetched from a peer,
// which repeats known entries, lifting what was observed since they were written.
func TestEntryReadAgainDoesNotMakeEndpointWarm(t *testing.T) {
	r := NewRegistry(regionOf)
	entry := []Entry{{ID: "a", Endpoint: ready("a", 1, 1)}}
	r.Apply(entry, start)
	r.MarkUnreachable("a", 1, at(time.Second))
	r.MarkAddressTaken("a", 1, at(time.Second))
	isCold := func(now time.Time) bool {
		v, ok := r.Get("a")
		require.True(t, ok)
		return v.IsCold(heartbeatInterval, now)
	}
	r.Replace(entry, at(1100*time.Millisecond))
	require.True(t, isCold(at(1200*time.Millisecond)), "it may have restarted")
	require.Empty(t, usable(r, at(1200*time.Millisecond)), "its address is taken")
	r.Replace([]Entry{{ID: "a", Endpoint: ready("a", 1, 2)}}, at(1300*time.Millisecond))
	require.False(t, isCold(at(1400*time.Millisecond)), "it has written since")
	require.NotEmpty(t, usable(r, at(1400*time.Millisecond)))
	leaving := ready("a", 1, 2)
	leaving.State = Draining
	r.Replace([]Entry{{ID: "a", Endpoint: leaving}}, at(1500*time.Millisecond))
	require.Empty(t, usable(r, at(1600*time.Millisecond)), "a peer knows that it is leaving")
}

// TestEntryWrittenBeforeHealthResponseDoesNotMakeEndpointWarm guards against an entry that
// was written before the endpoint said that it is cold and is read after it.
func TestEntryWrittenBeforeHealthResponseDoesNotMakeEndpointWarm(t *testing.T) {
	r := NewRegistry(regionOf)
	r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 1, 1)}}, start)
	r.MarkCold("a", 1, at(3*time.Second))
	r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 1, 2)}}, at(time.Second))
	v, _ := r.Get("a")
	require.Equal(t, ColdByHealth, v.ColdCause(heartbeatInterval, at(2*time.Second)))
	require.Empty(t, v.ColdCause(heartbeatInterval, at(4*time.Second)))
	r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 2, 1)}}, at(2*time.Second))
	v, _ = r.Get("a")
	require.Empty(t, v.ColdCause(heartbeatInterval, at(2*time.Second)), "another incarnation")
	r.RemoveExpired(at(time.Minute))
	require.Empty(t, r.cold)
}

// TestEntryWrittenBeforeCrashDoesNotMakeEndpointWarm guards against an entry that was
// written before the endpoint refused a connection and is read after it.
func TestEntryWrittenBeforeCrashDoesNotMakeEndpointWarm(t *testing.T) {
	r := NewRegistry(regionOf)
	r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 1, 1)}}, start)
	r.MarkRefused("a", 1, at(time.Second))
	r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 1, 2)}}, at(1100*time.Millisecond))
	causeAt := func(now time.Time) ColdCause {
		v, ok := r.Get("a")
		require.True(t, ok)
		return v.ColdCause(heartbeatInterval, now)
	}
	require.Equal(t, ColdRefused, causeAt(at(1200*time.Millisecond)), "it may have restarted")
	require.Empty(t, causeAt(at(6*time.Second)))
	r.MarkRefused("a", 1, at(7*time.Second))
	r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 2, 1)}}, at(8*time.Second))
	require.Empty(t, causeAt(at(8*time.Second)), "another incarnation")
}

// TestRefusedConnectionIsNotToldForever has two gateways tell each other what they know
// of refused connections, each time a while after it was so.
func TestRefusedConnectionIsNotToldForever(t *testing.T) {
	const transit = 400 * time.Millisecond
	a, b := NewRegistry(regionOf), NewRegistry(regionOf)
	a.Apply([]Entry{{ID: "e", Endpoint: ready("e", 1, 1)}}, start)
	a.MarkRefused("e", 1, start)
	require.Equal(t, []string{"e"}, b.ApplyRefused(a.NewlyRefused(start), at(transit)))
	b.Apply([]Entry{{ID: "e", Endpoint: ready("e", 1, 1)}}, at(transit))
	v, _ := b.Get("e")
	require.Equal(t, ColdRefused, v.ColdCause(heartbeatInterval, at(transit)), "told before the entry came")
	for d := time.Duration(0); d < 20*time.Second; d += 100 * time.Millisecond {
		require.Empty(t, a.ApplyRefused(b.NewlyRefused(at(d)), at(d+transit)))
		require.Empty(t, b.ApplyRefused(a.NewlyRefused(at(d)), at(d+transit)))
	}
	require.Empty(t, b.NewlyRefused(at(20*time.Second)))
	require.Empty(t, b.ApplyRefused([]RefusedEndpoint{{ID: "e", Incarnation: 1, AgeMillis: -5000}}, at(20*time.Second)), "not from the future")
	a.MarkRefused("e", 1, at(20*time.Second))
	b.ApplyRefused(a.NewlyRefused(at(20*time.Second)), at(20*time.Second))
	require.Len(t, b.NewlyRefused(at(20*time.Second)), 1, "another refusal")
	for i := range 5000 {
		b.MarkRefused(fmt.Sprint("e", i), 1, at(time.Minute))
	}
	require.Len(t, b.NewlyRefused(at(time.Minute)), maxRefusedNews)
	b.RemoveExpired(at(3 * time.Minute))
	require.Empty(t, b.refused)
}

// TestFingerprint checks that the fingerprint changes with the incarnation but not
// with heartbeats, and that a registry filled from another one's entries has the
// same fingerprint.
func TestFingerprint(t *testing.T) {
	a, b := NewRegistry(regionOf), NewRegistry(regionOf)
	cold := ready("y", 1, 1)
	cold.ColdRemaining = time.Second
	a.Apply([]Entry{{ID: "x", Endpoint: ready("x", 1, 1)}, {ID: "y", Endpoint: cold}, {ID: "z", Endpoint: leaving("z", 1, 1)}}, start)
	before := a.Fingerprint()
	a.Apply([]Entry{{ID: "x", Endpoint: ready("x", 1, 7)}}, start)
	require.Equal(t, before, a.Fingerprint())
	var entries []Entry
	for _, e := range a.Entries(at(5 * time.Second)) {
		entries = append(entries, Entry{ID: e.ID, Endpoint: &e})
	}
	b.Replace(entries, at(5*time.Second))
	require.Equal(t, before, b.Fingerprint())
	require.Equal(t, []string{"x", "y"}, usable(b, at(5*time.Second)))
	a.Apply([]Entry{{ID: "x", Endpoint: ready("x", 2, 1)}}, start)
	require.NotEqual(t, before, a.Fingerprint())
}

func TestSetRegions(t *testing.T) {
	r := NewRegistry(regionOf)
	r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 1, 1)}}, start)
	r.SetRegions(map[string]string{"north-a": "west"}, time.Now())
	b, _ := r.Get("a")
	require.Equal(t, "west", b.Region)
	r.SetRegions(map[string]string{}, time.Now())
	require.Empty(t, usable(r, start))
}

// TestOldEntryDoesNotBringBackAGoneEndpoint covers a store that is restored from a copy in
// which the entry of a gone endpoint still stands.
func TestOldEntryDoesNotBringBackAGoneEndpoint(t *testing.T) {
	r := NewRegistry(regionOf)
	r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 1, 7)}}, start)
	r.Apply([]Entry{{ID: "a", Deleted: true}}, start)
	for _, sequence := range []int64{3, 7} {
		require.Empty(t, r.Replace([]Entry{{ID: "a", Endpoint: ready("a", 1, sequence)}}, at(time.Second)))
		require.Empty(t, usable(r, at(time.Second)))
	}
	require.Equal(t, []Change{{ID: "a", Kind: ChangeNew}}, r.Replace([]Entry{{ID: "a", Endpoint: ready("a", 1, 8)}}, at(2*time.Second)), "it has written again")
	r.Apply([]Entry{{ID: "a", Deleted: true}}, at(3*time.Second))
	require.Equal(t, []Change{{ID: "a", Kind: ChangeNew}}, r.Replace([]Entry{{ID: "a", Endpoint: ready("a", 2, 1)}}, at(4*time.Second)), "it has restarted")
	r.RemoveExpired(at(3*time.Second + goneRetention + time.Second))
	require.Empty(t, r.gone)
}
