package placement

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The load of these tests: many gateways that see the endpoints as they were
// about a second ago, and send each hundreds of requests meanwhile.
const (
	viewInterval = time.Second
	playTime     = 10 * time.Second
	subjects     = 2000
)

// played is one engine of a played load.
type played struct {
	region string
	// queued is the reading time ahead, use the faded reading time, as of at.
	queued, use time.Duration
	at          time.Time
}

func (e *played) advance(now time.Time) {
	age := now.Sub(e.at)
	e.queued = max(e.queued-time.Duration(interleave*float64(age)), 0)
	e.use = time.Duration(float64(e.use) * math.Exp(-age.Seconds()/useTime.Seconds()))
	e.at = now
}

// demand is what the callers of a region ask for, as a share of what the
// region's engines can read.
type demand struct {
	region  string
	engines int
	share   float64
}

// late plays the demands with gateways that choose by the view alone.
func late(t *testing.T, lateView bool, demands ...demand) map[string]float64 {
	t.Helper()
	return lateBy(t, func(random *rand.Rand, req Request, region string, engines, view []played, now time.Time) bool {
		return ask(random, req, region, lateView, engines, view, now)
	}, demands...)
}

// lateBy plays the demands and returns the share of each region's questions that
// were refused or answered late. place places one request and plays it; false if
// it was not answered in time.
func lateBy(t *testing.T, place func(*rand.Rand, Request, string, []played, []played, time.Time) bool, demands ...demand) map[string]float64 {
	t.Helper()
	random := rand.New(rand.NewSource(1))
	now := time.Unix(1_700_000_000, 0)
	var engines []played
	for _, d := range demands {
		for range d.engines {
			engines = append(engines, played{region: d.region, at: now})
		}
	}
	asked, missed := make(map[string]int), make(map[string]int)
	req := question()
	work := readTime(req, &Candidate{PrefillTimePerToken: tokenTime})
	view := make([]played, len(engines))
	step := time.Millisecond
	for n := 0; n < int(playTime/step); n++ {
		now = now.Add(step)
		if n%int(viewInterval/step) == 0 {
			for i := range engines {
				engines[i].advance(now)
				view[i] = engines[i]
			}
		}
		for _, d := range demands {
			rate := d.share * float64(d.engines) / work.Seconds() * interleave * step.Seconds()
			for range poisson(random, rate) {
				asked[d.region]++
				if !place(random, req, d.region, engines, view, now) {
					missed[d.region]++
				}
			}
		}
	}
	out := make(map[string]float64)
	for region, n := range asked {
		out[region] = float64(missed[region]) / float64(n)
	}
	return out
}

// ask places one request by the view and plays it; false if it was not answered
// in time.
func ask(random *rand.Rand, req Request, region string, lateView bool, engines, view []played, now time.Time) bool {
	req.StaleView, req.HashFraction = lateView, random.Float64()
	d := Decide(req, rankedCandidates(random.Intn(subjects), region, view))
	return d.Kind == Serve && playOn(req, &engines[number(d.Candidate)], d.Candidate, now)
}

// poisson draws the number of arrivals of a rate.
func poisson(random *rand.Rand, rate float64) int {
	n, p, limit := 0, random.Float64(), math.Exp(-rate)
	for p > limit {
		p *= random.Float64()
		n++
	}
	return n
}

// TestGatewaysWithOneLateViewDontChooseAlike plays a busy region whose gateways
// all see it as it was up to a second ago.
func TestGatewaysWithOneLateViewDontChooseAlike(t *testing.T) {
	alike := late(t, false, demand{"north", 28, 0.8})["north"]
	apart := late(t, true, demand{"north", 28, 0.8})["north"]
	t.Logf("late or refused: %.3f when all are compared, %.3f with few choices", alike, apart)
	require.Less(t, apart, 0.05)
	require.Less(t, apart, alike/4)
}

// TestASmallRegionIsNotFlooded plays two regions at their peaks beside a small
// one that has time to spare: it helps without failing its own callers.
func TestASmallRegionIsNotFlooded(t *testing.T) {
	small := late(t, true, demand{"north", 28, 1.3}, demand{"south", 28, 1.3}, demand{"west", 8, 0.4})
	t.Logf("late or refused: %v", small)
	require.Less(t, small["west"], 0.1)
}
