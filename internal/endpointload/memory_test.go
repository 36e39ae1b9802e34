package endpointload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/placement"
)

// TestEngineHoldsNoMoreThanItsMemory guards against an engine that crashes because gateways
// together give it more requests than it has KV cache for: twelve gateways ask its
// coordinator, responses take three times as long as expected, and hints of their lengths are
// wrong by a factor of up to five.
func TestEngineHoldsNoMoreThanItsMemory(t *testing.T) {
	const gateways, capacity, prompt, output = 12, 200_000, 10_000, 400
	random := rand.New(rand.NewPCG(6, 0))
	trackers := make([]*Tracker, gateways)
	for i := range trackers {
		trackers[i] = New()
	}
	coordinator := trackers[0]
	type request struct {
		end time.Time
		req *ActiveRequest
	}
	var inFlight []request
	admitted, refused, most := 0, 0, 0
	nextReport := start
	for now := start; now.Before(at(60 * time.Second)); now = now.Add(time.Duration(random.ExpFloat64() * float64(100*time.Millisecond))) {
		kept := inFlight[:0]
		for _, r := range inFlight {
			if r.end.After(now) {
				kept = append(kept, r)
				continue
			}
			r.req.End(Succeeded, r.end)
		}
		inFlight = kept
		if !now.Before(nextReport) {
			exchangeReports(trackers, now)
			nextReport = now.Add(reportInterval)
		}
		gateway := trackers[random.IntN(gateways)]
		hint := output * (1 + random.IntN(25)) / 5
		class := LengthClass{Route: "chat", Hinted: true}
		lengths := gateway.ExpectedLengths(class, hint, 0)
		q := Query{ID: "e", Service: "llm", Slots: 64, KVCapacity: capacity, Coordinated: true}
		c, _ := coordinator.Candidate(q, now)
		req := placement.Request{
			PromptTokens: prompt, OutputTokens: hint, LongOutputTokens: lengths.Tokens, Outputs: lengths.Outputs,
			TimeToObjective: 2 * time.Second, TimeToDeadline: 2 * time.Second, TimeToEnd: time.Minute,
		}
		d := placement.DecideGrant(req, []placement.Candidate{c}, 2*time.Second)
		if d.Kind != placement.Serve {
			refused++
			continue
		}
		admitted++
		job := Job{Service: "llm", PromptTokens: prompt, OutputTokens: hint, Streamed: true, Class: class, Lengths: lengths, Deadline: now.Add(time.Minute)}
		coordinator.RecordGrant("e", 0, job, now)
		active := gateway.Begin("e", 0, job, now)
		active.RecordOutput(now.Add(300 * time.Millisecond))
		inFlight = append(inFlight, request{now.Add(300*time.Millisecond + 3*output*defaultTimePerOutputToken), active})
		most = max(most, len(inFlight)*(prompt+output))
	}
	t.Logf("%d admitted, %d refused, %d of %d tokens held at most", admitted, refused, most, capacity)
	require.LessOrEqual(t, most, capacity)
	require.Greater(t, most, capacity/2)
	require.Positive(t, refused, "the load exceeds the memory")
}
