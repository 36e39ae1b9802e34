package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func request(id string) []Key {
	return []Key{HashRequest(Request{Service: "s", Method: "GET", Target: "/" + id})}
}

func isRequestHeld(q *Tracker, id string, now time.Time) bool {
	_, _, ok := q.Find(request(id), now)
	return ok
}

// crashRequest records that an endpoint was sent a request and crashed a moment later.
func crashRequest(q *Tracker, id string, endpoint int, sentAt time.Time) {
	q.RecordCrash(request(id), uint64(endpoint), sentAt, sentAt.Add(50*time.Millisecond))
}

// TestRequestThatCrashesEachEndpointIsHeld sends a request to one endpoint after the other.
func TestRequestThatCrashesEachEndpointIsHeld(t *testing.T) {
	q := NewOfRequests()
	for i := range 3 {
		now := at(time.Duration(i) * 200 * time.Millisecond)
		require.False(t, isRequestHeld(q, "deadly", now))
		crashRequest(q, "deadly", i, now)
		q.RecordCompletion(request("sound"), now)
	}
	now := at(time.Second)
	require.True(t, isRequestHeld(q, "deadly", now))
	require.False(t, isRequestHeld(q, "sound", now))
	require.Equal(t, 1, q.HeldCount())
}

// TestCommonRequestOutlivesTheLossOfItsEndpoints guards against refusing a sound request that
// many callers send: all endpoints of its service are lost together, are away for a while, and
// gateways learn of it one after the other.
func TestCommonRequestOutlivesTheLossOfItsEndpoints(t *testing.T) {
	gateways := []*Tracker{NewOfRequests(), NewOfRequests(), NewOfRequests(), NewOfRequests()}
	for round := range 3 {
		lostAt := at(time.Duration(round) * 30 * time.Second)
		for i := range 24 {
			q := gateways[i%len(gateways)]
			q.RecordCrash(request("common"), uint64(100*round+i/2), lostAt.Add(-time.Duration(i)*time.Millisecond), lostAt.Add(2*time.Millisecond))
		}
		for i := range 100 {
			exchange(t, gateways, lostAt.Add(time.Duration(i)*150*time.Millisecond))
		}
		for _, q := range gateways {
			require.False(t, isRequestHeld(q, "common", lostAt.Add(15*time.Second)))
			q.RecordCompletion(request("common"), lostAt.Add(16*time.Second))
		}
	}
}

// TestCommonRequestOutlivesEndpointsThatCrashByTurns plays endpoints that end and come back,
// while the same request completes at others.
func TestCommonRequestOutlivesEndpointsThatCrashByTurns(t *testing.T) {
	q := NewOfRequests()
	for i := range 100 {
		now := at(time.Duration(i) * 300 * time.Millisecond)
		crashRequest(q, "common", i, now)
		q.RecordCompletion(request("common"), now.Add(150*time.Millisecond))
		q.Digest(now.Add(200 * time.Millisecond))
		require.False(t, isRequestHeld(q, "common", now.Add(200*time.Millisecond)))
	}
}

// TestOnlyDeadlyRequestsAreHeld plays random requests at several gateways: a deadly one that
// comes again and again, common ones, ones that come once, and endpoints that end by themselves
// or all at once.
func TestOnlyDeadlyRequestsAreHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		gateways := make([]*Tracker, 1+random.IntN(5))
		for i := range gateways {
			gateways[i] = NewOfRequests()
		}
		crashes, reached, endpoint := 0, 0, 0
		var thirdCrash time.Time
		for step := range 600 {
			now := at(time.Duration(step) * 50 * time.Millisecond)
			if step%3 == 0 {
				require.Less(t, exchange(t, gateways, now), 8<<10)
			}
			q := gateways[random.IntN(len(gateways))]
			common, once := fmt.Sprint("common", random.IntN(6)), fmt.Sprint("once", step)
			sentAt := now.Add(-time.Duration(random.IntN(100)) * time.Millisecond)
			switch kind := random.IntN(40); {
			case kind < 3 && !isRequestHeld(q, "deadly", now):
				if crashes++; crashes == 3 {
					thirdCrash = now
				}
				if crashes > 3 && now.Sub(thirdCrash) > 5*time.Second {
					reached++
				}
				// What runs beside it ends with it.
				for _, id := range []string{"deadly", common, once} {
					q.RecordCrash(request(id), uint64(endpoint), sentAt, now)
				}
				endpoint++
			case kind == 3:
				for range 1 + random.IntN(4) {
					for n := range 10 {
						gateways[random.IntN(len(gateways))].RecordCrash(request(fmt.Sprint(once, n)), uint64(endpoint), sentAt, now)
					}
					endpoint++
				}
			case kind > 3:
				q.RecordCompletion(request(common), now)
			}
			require.False(t, isRequestHeld(q, common, now), common)
		}
		require.LessOrEqual(t, reached, 3)
		require.Positive(t, gateways[0].HeldCount())
	})
}

// TestVariedRequestsDontHideADeadlyOne lets callers vary their requests on purpose beside one
// that crashes endpoints, each crash at another gateway.
func TestVariedRequestsDontHideADeadlyOne(t *testing.T) {
	gateways := []*Tracker{NewOfRequests(), NewOfRequests(), NewOfRequests()}
	for round := range 30 {
		now := at(time.Duration(round) * 400 * time.Millisecond)
		q := gateways[round%len(gateways)]
		if !isRequestHeld(q, "deadly", now) {
			require.Less(t, round, 10, "found in time")
			crashRequest(q, "deadly", round, now)
		}
		for i := range 300 {
			crashRequest(q, fmt.Sprint("varied", round, " ", i), round, now)
		}
		for i := range 4 {
			require.Less(t, exchange(t, gateways, now.Add(time.Duration(60+80*i)*time.Millisecond)), 8<<10)
		}
	}
	for _, q := range gateways {
		require.LessOrEqual(t, len(q.records), maxSuspects)
		require.True(t, isRequestHeld(q, "deadly", at(13*time.Second)))
	}
	require.Zero(t, len(gateways[0].completed.current), "sound requests are not remembered")
}

// TestHashRequestTellsRequestsApart checks that the parts of a body don't matter, and all else
// does.
func TestHashRequestTellsRequestsApart(t *testing.T) {
	base := Request{Service: "s", Account: "a", Method: "POST", Target: "/p?q=1", Segments: []string{"x", "y"}, Body: [][]byte{[]byte("body")}}
	split := base
	split.Body = [][]byte{[]byte("bo"), nil, []byte("dy")}
	require.Equal(t, HashRequest(base), HashRequest(split))
	seen := map[Key]bool{HashRequest(base): true}
	for _, change := range []func(*Request){
		func(r *Request) { r.Service = "t" },
		func(r *Request) { r.Account = "b" },
		func(r *Request) { r.Method = "PUT" },
		func(r *Request) { r.Target = "/p?q=2" },
		func(r *Request) { r.Segments = []string{"x"} },
		func(r *Request) { r.Segments = []string{"x\x00y"} },
		func(r *Request) { r.Body = [][]byte{[]byte("bodY")} },
		func(r *Request) { r.Body = nil },
	} {
		r := base
		change(&r)
		require.False(t, seen[HashRequest(r)], "%+v", r)
		seen[HashRequest(r)] = true
	}
}

// TestRequestThatComesSeldomIsHeld sends a request that crashes each endpoint once in 40 s.
func TestRequestThatComesSeldomIsHeld(t *testing.T) {
	q := NewOfRequests()
	for i := range 3 {
		now := at(time.Duration(i) * 40 * time.Second)
		require.False(t, isRequestHeld(q, "deadly", now))
		crashRequest(q, "deadly", i, now)
		for n := range 40 {
			q.Digest(now.Add(time.Duration(n) * time.Second))
		}
	}
	require.True(t, isRequestHeld(q, "deadly", at(81*time.Second)))
	q.Digest(at(time.Hour))
	q.Digest(at(2 * time.Hour))
	require.Empty(t, q.records)
}
