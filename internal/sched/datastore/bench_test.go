package datastore_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/sched"
)

// BenchmarkDecide measures View and Decide for a prompt of 100 blocks, by the number
// of endpoints in the region.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 50, 100, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newStore(n)
			for _, region := range []string{"r2", "r3"} {
				s.ApplyRegionSummary(blackboard.RegionSummary{Region: region, AsOf: start, Groups: map[string]blackboard.GroupSummary{
					"g": {Endpoints: n, PrefillRate: 8000 * float64(n), FreeSlots: n},
				}})
			}
			req := longRequest()
			for i := range 3 {
				s.RecordSent(fmt.Sprintf("e%d", i), fmt.Sprint(i), req.PromptTokens, req.PrefixHashes, start)
			}
			sc := sched.New(sched.DefaultOptions())
			b.ReportAllocs()
			rnd := rand.New(rand.NewPCG(1, 1))
			for b.Loop() {
				sc.Decide(req, s.View(start), rnd.Uint64())
			}
		})
	}
}

// BenchmarkSentDone measures recording one request from sending to its end, and a
// load report.
func BenchmarkSentDone(b *testing.B) {
	s := newStore(300)
	req := longRequest()
	b.ReportAllocs()
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		s.RecordSent("e0", "a", req.PromptTokens, req.PrefixHashes, now)
		s.RecordFirstToken("e0", "a", now)
		s.RecordEnd("e0", "a", 0, now)
		s.ApplyLoadReport("e0", blackboard.LoadReport{TakenAt: now, PrefillRate: 8000, DecodeRate: 30, MaxBatch: 32}, now)
	}
}

func longRequest() *sched.Request {
	req := request()
	req.PromptTokens = 6400
	for i := range uint64(100) {
		req.PrefixHashes = append(req.PrefixHashes, (i+1)*0x9e3779b97f4a7c15)
	}
	req.PermittedRegions["r2"], req.PermittedRegions["r3"] = true, true
	return req
}
