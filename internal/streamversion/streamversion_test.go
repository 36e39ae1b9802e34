package streamversion_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/streamversion"
)

func record(id, version string) streamversion.Record {
	return streamversion.Record{ID: streamversion.IDOf(id), Service: "s", Version: version}
}

func TestRecordsAreKeptForRetention(t *testing.T) {
	now := time.Now()
	r := streamversion.NewRecords()
	for i := range 500 {
		r.Begin(record(strconv.Itoa(i), "v"+strconv.Itoa(i%2)), now)
		now = now.Add(time.Second)
		for _, age := range []int{0, 1, 30, 59} {
			if i < age {
				continue
			}
			version, ok := r.Lookup(streamversion.IDOf(strconv.Itoa(i-age)), "s", now)
			require.True(t, ok, "stream %d at %d", i-age, i)
			require.Equal(t, "v"+strconv.Itoa((i-age)%2), version)
		}
		_, ok := r.Lookup(streamversion.IDOf(strconv.Itoa(i)), "other", now)
		require.False(t, ok)
		_, ok = r.Lookup(streamversion.IDOf(strconv.Itoa(i-125)), "s", now)
		require.False(t, ok)
	}
	_, ok := r.Lookup(streamversion.IDOf("499"), "s", now.Add(time.Hour))
	require.False(t, ok)
}

// TestRefreshedRecordIsKept guards against a long stream that can't be taken up at its end.
func TestRefreshedRecordIsKept(t *testing.T) {
	now := time.Now()
	r := streamversion.NewRecords()
	for range 100 {
		r.Keep(record("long", "v1"), now)
		now = now.Add(50 * time.Second)
		version, ok := r.Lookup(streamversion.IDOf("long"), "s", now)
		require.True(t, ok)
		require.Equal(t, "v1", version)
	}
}

// TestContradictingRecordsTellNothing guards against a stream that goes on at one of two versions
// that are said to have begun it.
func TestContradictingRecordsTellNothing(t *testing.T) {
	now := time.Now()
	for _, later := range []time.Duration{0, 70 * time.Second} {
		r := streamversion.NewRecords()
		r.Keep(record("a", "v1"), now)
		r.Begin(record("a", "v2"), now.Add(later))
		r.Keep(record("a", "v2"), now.Add(later))
		_, ok := r.Lookup(streamversion.IDOf("a"), "s", now.Add(later))
		require.False(t, ok)
	}
}

func TestRecordsAreBounded(t *testing.T) {
	now := time.Now()
	r := streamversion.NewRecords()
	const many = 200_000
	for i := range many {
		r.Keep(record(strconv.Itoa(i), "v1"), now)
	}
	known := 0
	for i := range many {
		if _, ok := r.Lookup(streamversion.IDOf(strconv.Itoa(i)), "s", now); ok {
			known++
		}
	}
	require.Less(t, known, 70_000)
	_, ok := r.Lookup(streamversion.IDOf(strconv.Itoa(many-1)), "s", now)
	require.True(t, ok)
}

func TestOwnRecordsAreSentOnceWhenDue(t *testing.T) {
	now := time.Now()
	r := streamversion.NewRecords()
	due := false
	take := func() []streamversion.Record {
		return r.TakeUnsent(func(service string) bool { return due && service == "s" }, now)
	}
	r.Begin(record("a", "v1"), now)
	r.Keep(record("b", "v1"), now)
	r.Begin(streamversion.Record{ID: 1, Service: "other", Version: "v1"}, now)
	require.Empty(t, take())
	now = now.Add(70 * time.Second)
	r.Begin(record("c", "v1"), now)
	due = true
	require.Equal(t, []streamversion.Record{record("a", "v1"), record("c", "v1")}, take())
	require.Empty(t, take())
	r.Begin(record("a", "v1"), now)
	require.Len(t, take(), 1, "a refreshed record is sent again")
}
