package placement

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// playSpill plays the demand of three regions, in engines that it would keep busy with
// prefill, with utilizations that follow with a delay of one second and with
// utilizationTimeConstant. It returns the highest utilization of a region from two time
// constants after each change of the demand on, and that of all regions together.
func playSpill(engines []int, demand func(at time.Duration) []float64, spill bool, d time.Duration) (highest, mean float64) {
	const step, delay = 50 * time.Millisecond, 20
	n := len(engines)
	states, loads := make([]Spill, n), make([]float64, n)
	var seen [][]float64
	total, sum := 0.0, 0
	for _, e := range engines {
		sum += e
	}
	start := time.Unix(0, 0)
	for at := time.Duration(0); at < d; at += step {
		seen = append(seen, append([]float64(nil), loads...))
		known := seen[max(len(seen)-1-delay, 0)]
		served := append([]float64(nil), demand(at)...)
		for i := range n {
			local, remote := regionLoads(engines, known, i)
			if states[i] = states[i].Next(local, remote, start.Add(at)); !spill {
				states[i].Share = 0
			}
			for k := range 100 {
				fraction := (float64(k) + 0.5) / 100
				region, ok := SpillRegion(local, remote, fraction)
				if !ok {
					continue
				}
				moved := states[i].Share * demand(at)[i] / 100
				served[i] -= moved
				served[region[0]-'a'] += moved
			}
		}
		total = 0
		for i := range n {
			weight := 1 - math.Exp(-step.Seconds()/utilizationTimeConstant.Seconds())
			loads[i] += weight * (served[i]/float64(engines[i]) - loads[i])
			if at%(20*time.Second) > 4*utilizationTimeConstant {
				highest = max(highest, loads[i])
			}
			total += demand(at)[i]
		}
		mean = max(mean, total/float64(sum))
	}
	return highest, mean
}

func regionLoads(engines []int, utilizations []float64, own int) (local RegionLoad, remote []RegionLoad) {
	for i, e := range engines {
		r := RegionLoad{Region: string(rune('a' + i)), Endpoints: e, Utilization: utilizations[i]}
		if i == own {
			local = r
		} else {
			remote = append(remote, r)
		}
	}
	return local, remote
}

// TestSpillLevelsMovingPeaks guards against a small region that is filled up to its limits
// at its peak while the engines of the others are idle, and against shares that swing.
func TestSpillLevelsMovingPeaks(t *testing.T) {
	engines := []int{46, 28, 16}
	peaks := func(at time.Duration) []float64 {
		demand := []float64{3, 3, 3}
		demand[int(at/(20*time.Second))%3] = 28
		return demand
	}
	without, _ := playSpill(engines, peaks, false, time.Minute)
	with, mean := playSpill(engines, peaks, true, time.Minute)
	require.Greater(t, without, 1.5, "the smallest region can't serve its peak")
	require.Less(t, with, 1.35*mean)
}

// TestSpillKeepsWhatARegionServesWell guards against forwards between regions that have no
// need of them.
func TestSpillKeepsWhatARegionServesWell(t *testing.T) {
	now := time.Unix(0, 0)
	busy := RegionLoad{Region: "a", Endpoints: 40, Utilization: 0.6}
	idle := RegionLoad{Region: "b", Endpoints: 40, Utilization: 0.1}
	even := RegionLoad{Region: "b", Endpoints: 10, Utilization: 0.6}
	quiet := RegionLoad{Region: "a", Endpoints: 40, Utilization: spillFloor}
	require.Zero(t, Spill{}.Next(quiet, []RegionLoad{{Region: "b", Endpoints: 40}}, now).Share, "below the floor")
	require.InDelta(t, 0, Spill{}.Next(busy, []RegionLoad{even}, now).Share, 1e-9, "busy everywhere")
	require.Zero(t, Spill{}.Next(busy, nil, now).Share, "no other region")
	require.Zero(t, Spill{}.Next(RegionLoad{}, []RegionLoad{idle}, now).Share, "no engine of its own")
	s := Spill{}.Next(busy, []RegionLoad{idle}, now)
	require.InDelta(t, 1-spillMargin*0.35/0.6, s.Share, 1e-9)
	require.True(t, s.Sends(0))
	require.False(t, s.Sends(s.Share))
	_, ok := SpillRegion(busy, []RegionLoad{even}, 0.5)
	require.False(t, ok)
	region, ok := SpillRegion(busy, []RegionLoad{even, {Region: "c", Endpoints: 5, Utilization: 0.2}}, 0.5)
	require.True(t, ok)
	require.Equal(t, "c", region)
}

// TestSpillForgetsAfterAPause guards against a share that is taken for the cause of a
// utilization of much later, such as after a freeze.
func TestSpillForgetsAfterAPause(t *testing.T) {
	now := time.Unix(0, 0)
	busy, idle := RegionLoad{Endpoints: 10, Utilization: 0.9}, []RegionLoad{{Region: "b", Endpoints: 10}}
	s := Spill{}
	for range 100 {
		s, now = s.Next(busy, idle, now), now.Add(100*time.Millisecond)
	}
	require.Greater(t, s.recentShare, 0.4)
	later := s.Next(RegionLoad{Endpoints: 10, Utilization: spillFloor}, idle, now.Add(time.Minute))
	require.Zero(t, later.recentShare)
	require.Zero(t, later.Share)
}
