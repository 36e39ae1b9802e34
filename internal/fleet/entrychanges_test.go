package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEntryChangesLeadToTheSameEntries guards against followers of the store reader that miss
// a change, or keep fetching, when they get the changed entries only.
func TestEntryChangesLeadToTheSameEntries(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	reader, follower := NewRegistry(regionOf), NewRegistry(regionOf)
	now, seq, full := start, int64(0), 0
	for range 2000 {
		now = now.Add(time.Second)
		for range random.IntN(4) {
			seq++
			id := fmt.Sprint("e-", random.IntN(60))
			switch random.IntN(6) {
			case 0:
				reader.Apply([]Entry{{ID: id, Deleted: true}}, now)
			case 1:
				reader.Apply([]Entry{{ID: id, Endpoint: leaving(id, seq/40, seq)}}, now)
			default:
				reader.Apply([]Entry{{ID: id, Endpoint: ready(id, seq/40, seq)}}, now)
			}
		}
		if random.IntN(3) > 0 {
			continue
		}
		changes, ok := reader.EntriesSince(follower.Fingerprint(), now)
		if !ok {
			full++
			var entries []Entry
			for _, e := range reader.Entries(now) {
				entries = append(entries, Entry{ID: e.ID, Endpoint: &e})
			}
			follower.Replace(entries, now)
		} else {
			require.Equal(t, reader.Fingerprint(), changes.Fingerprint)
			follower.Apply(changes.AsEntries(), now)
		}
		require.Equal(t, reader.Fingerprint(), follower.Fingerprint())
	}
	require.Less(t, full, 10)
}

// TestEntryChangesAreSmall guards against one change for which all gateways of a large
// deployment fetch all entries from one gateway.
func TestEntryChangesAreSmall(t *testing.T) {
	const endpoints = 3000
	reader := NewRegistry(regionOf)
	var entries []Entry
	for i := range endpoints {
		id := fmt.Sprint("e-", i)
		entries = append(entries, Entry{ID: id, Endpoint: ready(id, 1, 1)})
	}
	reader.Replace(entries, start)
	before := reader.Fingerprint()
	reader.Apply([]Entry{{ID: "e-7", Endpoint: leaving("e-7", 1, 2)}, {ID: "e-8", Deleted: true}}, start)
	changes, ok := reader.EntriesSince(before, start)
	require.True(t, ok)
	require.Len(t, changes.Changed, 1)
	require.Equal(t, []string{"e-8"}, changes.Removed)
	small, err := json.Marshal(changes)
	require.NoError(t, err)
	all, err := json.Marshal(reader.Entries(start))
	require.NoError(t, err)
	t.Logf("%d bytes of changes, %d of all entries", len(small), len(all))
	require.Less(t, len(small), len(all)/500)
}

// TestEntryHistoryIsBounded guards against a history that grows with each change, and against
// changes from a state that has been dropped.
func TestEntryHistoryIsBounded(t *testing.T) {
	r := NewRegistry(regionOf)
	first := r.Fingerprint()
	for i := range 2 * maxStates {
		r.Apply([]Entry{{ID: "a", Endpoint: ready("a", 1, int64(2*i))}, {ID: "b", Endpoint: ready("b", 1, int64(2*i))}}, start)
		e := ready("a", 1, int64(2*i+1))
		e.Slots = i
		r.Apply([]Entry{{ID: "a", Endpoint: e}}, start)
		r.Fingerprint()
	}
	require.LessOrEqual(t, len(r.history.states), maxStates)
	_, ok := r.EntriesSince(first, start)
	require.False(t, ok)
}
