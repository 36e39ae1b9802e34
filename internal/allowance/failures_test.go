package allowance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failure is a fault that begins at faultAt.
type failure struct {
	begin func(s *simulation)
	// leastWhile and leastAfter are the least parts of the demand that are served while
	// the fault lasts, and from 5 s after its end to 10 s after it.
	leastWhile, leastAfter float64
}

const (
	faultAt  = 10 * time.Second
	faultEnd = 18 * time.Second
)

// noticed returns when a gateway notices that another one is gone: it differs between the
// gateways of a region, by up to DetectionTime.
func noticed(viewer int) time.Duration {
	return faultAt + 1500*time.Millisecond + time.Duration(viewer*997%1600)*time.Millisecond
}

func regionOf(id int) int { return id / gatewaysPerRegion }

// healed returns when a gateway notices that another one is back.
func healed(viewer int) time.Duration {
	return faultEnd + time.Duration(viewer*997%500)*time.Millisecond
}

var failures = map[string]failure{
	"coordinator lost": {
		begin: func(s *simulation) {
			s.gateways[0].isStopped = true
			s.isGone = func(viewer, id int) bool { return id == 0 && s.now >= noticed(viewer) }
			s.startsAt[30] = faultAt + DetectionTime
			s.coordinatorOf = func(from int) int {
				if s.isGone(from, 0) {
					return 30
				}
				return 0
			}
		},
		leastWhile: 0.78, leastAfter: 0.97,
	},
	"coordinator frozen for 3 s": {
		begin: func(s *simulation) {
			s.gateways[0].frozenUntil = faultAt + 3*time.Second
			isBack := func(viewer int) bool { return s.now >= healed(viewer)-faultEnd+s.gateways[0].frozenUntil }
			s.startsAt[30] = faultAt + DetectionTime
			s.coordinatorOf = func(from int) int {
				if s.now >= noticed(from) && !isBack(from) {
					return 30
				}
				return 0
			}
		},
		leastWhile: 0.78, leastAfter: 0.97,
	},
	"a region cut off": {
		begin: func(s *simulation) {
			isApart := func(a, b int) bool { return (regionOf(a) == 2) != (regionOf(b) == 2) }
			s.isCut = func(from, to int) bool { return isApart(from, to) && s.now < faultEnd }
			s.splitView(isApart)
		},
		leastWhile: 0.9, leastAfter: 0.98,
	},
	"a region hears nobody": {
		begin: func(s *simulation) {
			isDeaf := func(viewer, id int) bool { return regionOf(viewer) == 2 && regionOf(id) != 2 }
			s.isCut = func(from, to int) bool { return isDeaf(to, from) && s.now < faultEnd }
			s.splitView(isDeaf)
		},
		leastWhile: 0.9, leastAfter: 0.98,
	},
	"nobody hears a region": {
		begin: func(s *simulation) {
			isUnheard := func(viewer, id int) bool { return regionOf(viewer) != 2 && regionOf(id) == 2 }
			s.isCut = func(from, to int) bool { return isUnheard(to, from) && s.now < faultEnd }
			s.splitView(isUnheard)
		},
		leastWhile: 0.9, leastAfter: 0.98,
	},
}

// splitView lets gateways notice that others are gone. Those that don't hear the
// coordinator, gateway 0, are coordinated by gateway 50.
func (s *simulation) splitView(isApart func(viewer, id int) bool) {
	s.isGone = func(viewer, id int) bool {
		return isApart(viewer, id) && s.now >= noticed(viewer) && s.now < healed(viewer)
	}
	s.startsAt[50] = faultAt + DetectionTime
	s.coordinatorOf = func(from int) int {
		if s.isGone(from, 0) {
			return 50
		}
		return 0
	}
}

// TestFailuresServeWhatTheBoundAllows guards against gateways that are refused, or that
// together hand out more than the limit, while they can't hear each other.
func TestFailuresServeWhatTheBoundAllows(t *testing.T) {
	for name, f := range failures {
		for load, part := range map[string]float64{"half": 0.5, "five times": 5} {
			t.Run(name+", "+load, func(t *testing.T) {
				s := newSimulation(large)
				s.run(faultAt-time.Second, 0.2*large.PerSecond)
				s.run(time.Second, part*large.PerSecond)
				f.begin(s)
				s.run(faultEnd+10*time.Second-faultAt, part*large.PerSecond)
				demand := min(part, 1) * large.PerSecond
				during := s.cost(faultAt, faultEnd) / demand / (faultEnd - faultAt).Seconds()
				first := s.cost(faultAt, faultAt+4*time.Second) / demand / 4
				after := s.cost(faultEnd+5*time.Second, s.now) / demand / 5
				t.Logf("served of the demand or limit: first 4 s %.3f, during %.3f, after %.3f; worst window %.3f", first, during, after, s.worst())
				require.LessOrEqual(t, s.worst(), 1.0)
				require.GreaterOrEqual(t, during, f.leastWhile)
				require.GreaterOrEqual(t, after, f.leastAfter)
			})
		}
	}
}
