package endpointload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func coordinated(session, own uint64) Query {
	q := query(session, own)
	q.Coordinated = true
	return q
}

// TestGrantsCountAtOnce checks that a coordinator knows what it granted before
// any gateway tells of it, and that others don't take it for their own.
func TestGrantsCountAtOnce(t *testing.T) {
	l := New()
	l.RecordGrant("e", 0, job(10, 11), start)
	c := candidate(t, l, coordinated(10, 12), start)
	require.Equal(t, read(10_000), c.QueuedPrefill)
	require.InDelta(t, read(10_000).Seconds()/2, c.PrefillUtilization, 1e-6)
	require.Equal(t, 1, c.Waiting)
	require.Equal(t, 10_400, c.KVTokens)
	require.Equal(t, 5_000, c.CachedTokens, "the shared parts are being read there")
	require.Zero(t, candidate(t, l, query(10, 12), start).QueuedPrefill)
	require.Empty(t, l.Loads(start), "who was granted tells of it")
}

// TestGrantsAreReadInTheOrderOfUrgency plays an engine that reads for readShare
// of its time.
func TestGrantsAreReadInTheOrderOfUrgency(t *testing.T) {
	l := New()
	less := job(10, 11)
	more := job(20, 21)
	more.Priority = 0
	l.RecordGrant("e", 0, less, start)
	l.RecordGrant("e", 0, more, start)
	q := coordinated(30, 31)
	require.Equal(t, 2*read(10_000), candidate(t, l, q, start).QueuedPrefill)
	urgent := q
	urgent.Priority = 0
	require.Equal(t, read(10_000), candidate(t, l, urgent, start).QueuedPrefill)
	half := at(time.Duration(float64(read(10_000)) / 2 / readShare))
	require.InDelta(t, read(10_000)/2, candidate(t, l, urgent, half).QueuedPrefill, float64(time.Millisecond))
	require.InDelta(t, 3*read(10_000)/2, candidate(t, l, q, half).QueuedPrefill, float64(time.Millisecond))
	require.Zero(t, candidate(t, l, q, at(time.Second)).QueuedPrefill)
	require.Zero(t, candidate(t, l, q, at(time.Second)).Waiting, "by now the gateways tell of it themselves")
}

// TestSlowerThanGranted checks that the word of the gateways counts where the
// endpoint is slower than was reckoned.
func TestSlowerThanGranted(t *testing.T) {
	l := New()
	l.RecordGrant("e", 0, job(10, 11), start)
	l.ApplyGatewayLoads("g2", []EndpointLoad{{ID: "e", Waiting: 1, QueuedPrefillMillis: []int{0, 900}}}, start)
	require.Equal(t, 900*time.Millisecond, candidate(t, l, coordinated(20, 21), start).QueuedPrefill)
}

// TestARegionGoesOnAsItDid checks that the use of another region's endpoints does
// not fade while its word is on the way.
func TestARegionGoesOnAsItDid(t *testing.T) {
	l := New()
	l.ApplyRegionLoads("south", []EndpointLoad{{ID: "far", Running: 1, RecentPrefillMillis: 1000}}, start)
	q := query(10, 11)
	q.ID, q.Remote = "far", true
	require.InDelta(t, 0.5, candidate(t, l, q, at(time.Second)).PrefillUtilization, 1e-6)
}

func TestPartsOnTheWire(t *testing.T) {
	body, err := Segment{PrefixHash: 1 << 63, Tokens: 512}.MarshalJSON()
	require.NoError(t, err)
	var p Segment
	require.NoError(t, p.UnmarshalJSON(body))
	require.Equal(t, Segment{PrefixHash: 1 << 63, Tokens: 512}, p)
	for _, text := range []string{`""`, `"x"`, `"x -1"`, `7`, `"! 3"`} {
		require.Error(t, p.UnmarshalJSON([]byte(text)), text)
	}
}
