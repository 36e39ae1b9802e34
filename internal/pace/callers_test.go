package pace

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scenario is a model of ten endpoints with eight slots each, which serve 80 requests a
// second each. The first returning ones start or recover at returnAt.
type scenario struct {
	returning int
	cause     Cause
	perSecond float64
	// change changes the endpoints that return; it may be nil.
	change func(e *modelEndpoint)
}

const (
	returnAt  = time.Second
	modelSize = 10
)

// seeds is the number of runs of a scenario with different arrivals, whose results are
// added: single runs differ by a few percent.
const seeds = 4

// outcome is what callers got with a policy, and what became of the first endpoint that
// returned.
type outcome struct {
	result
	placed, served, refusals, crashes int
}

// run runs the scenario with so many gateways.
func (s scenario) run(gateways int, newPolicy func(rank int) policy) outcome {
	var out outcome
	for seed := range uint64(seeds) {
		m := &model{seed: seed, perSecond: s.perSecond, objective: 300 * time.Millisecond, deadline: 2 * time.Second, length: 11 * time.Second, measureFrom: returnAt}
		for rank := range gateways {
			m.gateways = append(m.gateways, newPolicy(rank))
		}
		for i := range modelSize {
			m.endpoints = append(m.endpoints, &modelEndpoint{id: fmt.Sprint("e", i), slots: 8, service: 100 * time.Millisecond, incarnation: 1})
		}
		for _, e := range m.endpoints[:s.returning] {
			e.startedAt, e.ejectedUntil = returnAt, returnAt
			if s.change != nil {
				s.change(e)
			}
			m.at(returnAt, func(now time.Duration) { m.begin(e, s.cause, now) })
		}
		out.add(m.run())
		first := m.endpoints[0]
		out.placed += first.placed
		out.served += first.served
		out.refusals += first.refusals
		out.crashes += first.crashes
	}
	return out
}

// runPaced runs the scenario with the pace, kept by one gateway or by each for its part.
// isTold is set if gateways tell each other what requests show.
func (s scenario) runPaced(gateways int, isTold bool) outcome {
	return s.run(gateways, func(rank int) policy {
		return &byPace{tracker: New(), parts: gateways, rank: rank, inFlight: make(map[string]int), isTold: isTold, allPaced: s.returning == modelSize}
	})
}

// compare runs the scenario with today's behaviour, a fixed ramp and the pace.
func (s scenario) compare(t *testing.T) (today, ramp, paced outcome) {
	today = s.run(1, func(int) policy { return noPace{} })
	ramp = s.run(1, func(int) policy { return newFixedRamp() })
	paced = s.runPaced(1, true)
	t.Logf("today:      %v", today)
	t.Logf("fixed ramp: %v", ramp)
	t.Logf("pace:       %v", paced)
	require.Equal(t, today.total(), paced.total(), "the same arrivals")
	return today, ramp, paced
}

func (o outcome) String() string {
	return fmt.Sprintf("%v; first endpoint: %d requests, %d refused, %d crashes", o.result, o.placed, o.refusals, o.crashes)
}

// slowFor returns a change by which endpoints are slow at first and get faster for so
// long after their start, whatever they serve.
func slowFor(factor float64, warmUp time.Duration) func(*modelEndpoint) {
	return func(e *modelEndpoint) {
		e.slowdown = func(_ *modelEndpoint, age time.Duration) float64 {
			return max(1, factor-(factor-1)*age.Seconds()/warmUp.Seconds())
		}
	}
}

// fragileFor returns a change by which endpoints end when they hold more than five
// requests within so long after their start.
func fragileFor(d time.Duration) func(*modelEndpoint) {
	return func(e *modelEndpoint) {
		e.crashAbove = func(age time.Duration) int {
			if age < d {
				return 5
			}
			return 1000
		}
	}
}

// TestSlowStartMakesFewResponsesLate guards against the flood on an endpoint that looks
// idle and is slow at first, by itself or by the requests that it holds.
func TestSlowStartMakesFewResponsesLate(t *testing.T) {
	thrash := func(e *modelEndpoint) {
		e.slowdown = func(e *modelEndpoint, age time.Duration) float64 {
			if age > 4*time.Second {
				return 1
			}
			return 1 + float64(max(e.inFlight()-3, 0))
		}
	}
	for name, change := range map[string]func(*modelEndpoint){"warm-up": slowFor(6, 3*time.Second), "thrash": thrash} {
		t.Run(name, func(t *testing.T) {
			today, ramp, paced := scenario{1, Started, 560, change}.compare(t)
			require.Less(t, paced.late, today.late/2)
			require.Less(t, paced.late, ramp.late/2)
			require.Equal(t, paced.total(), paced.inTime+paced.late, "nothing is refused")
		})
	}
}

// TestSoundEndpointIsNotLeftIdle guards against a pace that holds requests back from an
// endpoint that can take them while the others have too many.
func TestSoundEndpointIsNotLeftIdle(t *testing.T) {
	t.Run("one of ten", func(t *testing.T) {
		today, ramp, paced := scenario{1, Recovered, 760, nil}.compare(t)
		require.GreaterOrEqual(t, paced.inTime, today.inTime)
		require.Greater(t, paced.placed, ramp.placed)
		require.Greater(t, float64(paced.placed), 0.98*float64(today.placed))
	})
	t.Run("half of them", func(t *testing.T) {
		today, ramp, paced := scenario{5, Returned, 700, nil}.compare(t)
		require.GreaterOrEqual(t, paced.inTime, today.inTime)
		require.Greater(t, paced.inTime, ramp.inTime)
	})
}

// TestEndpointThatWarmsUpByServingIsNotStarved guards against a pace that keeps endpoints
// cold by giving them nothing to warm up with, while the others have too many requests.
func TestEndpointThatWarmsUpByServingIsNotStarved(t *testing.T) {
	today, ramp, paced := scenario{3, Started, 700, func(e *modelEndpoint) {
		e.slowdown = func(e *modelEndpoint, _ time.Duration) float64 { return max(1, 6-float64(e.served)/20) }
	}}.compare(t)
	require.GreaterOrEqual(t, paced.inTime, today.inTime)
	require.GreaterOrEqual(t, paced.inTime, ramp.inTime)
	require.Greater(t, float64(paced.placed), 0.98*float64(today.placed))
}

// TestLateEndpointGetsFewRequests guards against endless requests to an endpoint that
// came back at a fifth of its speed.
func TestLateEndpointGetsFewRequests(t *testing.T) {
	today, ramp, paced := scenario{1, Recovered, 560, slowFor(5, time.Hour)}.compare(t)
	require.Less(t, paced.late, today.late/2)
	require.Less(t, paced.late, ramp.late/2)
	require.Positive(t, paced.served)
}

// TestEndpointThatDiesAgainLosesFewRequests guards against endpoints that are ended by
// what they get right after each start.
func TestEndpointThatDiesAgainLosesFewRequests(t *testing.T) {
	t.Run("one of ten", func(t *testing.T) {
		today, ramp, paced := scenario{1, Recovered, 560, fragileFor(3 * time.Second)}.compare(t)
		require.LessOrEqual(t, paced.failed, today.failed/2)
		require.Less(t, paced.failed, ramp.failed)
	})
	t.Run("all", func(t *testing.T) {
		today, ramp, paced := scenario{modelSize, Recovered, 560, fragileFor(time.Second)}.compare(t)
		require.Greater(t, paced.inTime, today.inTime)
		require.Greater(t, paced.inTime, ramp.inTime)
		require.Less(t, paced.failed, ramp.failed)
	})
}

// TestReportedLoadIsNotTrusted guards against an endpoint that reports no load while it is
// slow, and checks that one that reports too much is not worse off than today.
func TestReportedLoadIsNotTrusted(t *testing.T) {
	t.Run("too little", func(t *testing.T) {
		today, ramp, paced := scenario{1, Recovered, 560, func(e *modelEndpoint) {
			slowFor(4, 3*time.Second)(e)
			e.reported = func(int) int { return 0 }
		}}.compare(t)
		require.Less(t, paced.late, today.late/2)
		require.Less(t, paced.late, ramp.late)
	})
	t.Run("too much", func(t *testing.T) {
		today, _, paced := scenario{1, Recovered, 700, func(e *modelEndpoint) {
			e.reported = func(n int) int { return n + 8 }
		}}.compare(t)
		require.GreaterOrEqual(t, paced.inTime, today.inTime)
		require.Greater(t, float64(paced.placed), 0.98*float64(today.placed))
	})
}

// TestRegionThatComesBackIsNotLeftIdle guards against a pace that refuses what a region can
// serve when all its endpoints recover at once. They may be sound, refuse what their queues
// don't hold, or be slow at first.
func TestRegionThatComesBackIsNotLeftIdle(t *testing.T) {
	for _, perSecond := range []float64{600, 780} {
		t.Run(fmt.Sprint("sound, ", perSecond), func(t *testing.T) {
			_, ramp, paced := scenario{modelSize, Recovered, perSecond, nil}.compare(t)
			require.Equal(t, paced.total(), paced.inTime)
			require.Greater(t, paced.inTime, ramp.inTime)
		})
	}
	t.Run("short queues", func(t *testing.T) {
		today, ramp, paced := scenario{modelSize, Recovered, 780, func(e *modelEndpoint) { e.maxQueue = 4 }}.compare(t)
		require.Less(t, today.share()-paced.share(), 0.002)
		require.Greater(t, paced.inTime, ramp.inTime)
	})
	t.Run("slow", func(t *testing.T) {
		today, ramp, paced := scenario{modelSize, Recovered, 600, slowFor(3, 2*time.Second)}.compare(t)
		require.Greater(t, paced.share(), today.share()+0.1)
		require.GreaterOrEqual(t, paced.inTime, ramp.inTime)
	})
}

// TestPartsOfAWindow guards against gateways that together flood an endpoint, since each may
// always send one request, or leave it idle, since each learns of its own requests only.
func TestPartsOfAWindow(t *testing.T) {
	for name, c := range map[string]struct {
		scenario
		// isWeak is set if the endpoint that comes back makes responses late or fails.
		isWeak bool
	}{
		"slow start": {scenario{1, Started, 560, slowFor(6, 3*time.Second)}, true},
		"late":       {scenario{1, Recovered, 560, slowFor(5, time.Hour)}, true},
		"fragile":    {scenario{1, Recovered, 560, fragileFor(3 * time.Second)}, true},
		"sound":      {scenario{5, Returned, 700, nil}, false},
		"region":     {scenario{modelSize, Recovered, 780, nil}, false},
	} {
		t.Run(name, func(t *testing.T) {
			today := c.run(1, func(int) policy { return noPace{} })
			t.Logf("today:                     %v", today)
			for _, gateways := range []int{4, 8} {
				for _, isTold := range []bool{true, false} {
					paced := c.runPaced(gateways, isTold)
					t.Logf("%d gateways, reports %-5v: %v", gateways, isTold, paced)
					require.GreaterOrEqual(t, paced.inTime, today.inTime)
					if c.isWeak {
						require.LessOrEqual(t, paced.late+paced.failed, (today.late+today.failed)/2)
					}
				}
			}
		})
	}
}
