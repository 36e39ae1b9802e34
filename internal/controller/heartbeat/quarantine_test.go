package heartbeat

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/quarantine"
)

// holdLimit is the time within which all gateways know of a segment that crashes
// endpoints: the contact time of the smallest platforms.
const holdLimit = 5 * time.Second

// segmentsOf and requestsOf return the trackers of a gateway.
func segmentsOf(n *node) *quarantine.Tracker { return n.Quarantine }

func requestsOf(n *node) *quarantine.Tracker { return n.RequestQuarantine }

// requireHeldEverywhere requires that within limit all gateways hold the key, or that none
// does.
func (f *testFleet) requireHeldEverywhere(tracker func(*node) *quarantine.Tracker, key quarantine.Key, want bool, limit time.Duration) {
	differing := func() (ids []string) {
		for _, n := range f.nodes {
			if _, _, held := tracker(n).Find([]quarantine.Key{key}, time.Now()); held != want {
				ids = append(ids, n.id)
			}
		}
		return ids
	}
	for end := time.Now().Add(limit); len(differing()) > 0 && time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
	}
	require.Empty(f.t, differing())
}

// TestAllGatewaysLearnOfDeadlySegment lets three gateways of two regions see one crash
// each.
func TestAllGatewaysLearnOfDeadlySegment(t *testing.T) {
	deadly := quarantine.HashSegment("s", "deadly")
	system := quarantine.HashSegment("s", "system")
	forEachFleetSize(t, func(f *testFleet) {
		seen := []*node{f.nodes[0], f.nodes[1], f.nodes[len(f.nodes)-1]}
		for i, n := range seen {
			n.Quarantine.RecordCompletion([]quarantine.Key{system}, time.Now())
			n.Quarantine.RecordCrash([]quarantine.Key{system, deadly}, uint64(i), time.Now(), time.Now())
		}
		f.requireHeldEverywhere(segmentsOf, deadly, true, holdLimit)
		f.requireHeldEverywhere(segmentsOf, system, false, 0)

		f.startGateway("late", "north", "10.0.9.1:7660")
		f.requireHeldEverywhere(segmentsOf, deadly, true, holdLimit)

		f.nodes[1].Quarantine.RecordCompletion([]quarantine.Key{deadly}, time.Now())
		f.requireHeldEverywhere(segmentsOf, deadly, false, holdLimit)
		time.Sleep(10 * time.Second)
		f.requireHeldEverywhere(segmentsOf, deadly, false, 0)
	})
}

// TestAllGatewaysLearnOfDeadlyRequest lets three gateways of two regions see one crash each of
// the endpoints that they sent the same request to.
func TestAllGatewaysLearnOfDeadlyRequest(t *testing.T) {
	deadly := quarantine.HashRequest(quarantine.Request{Service: "s", Target: "/deadly"})
	forEachFleetSize(t, func(f *testFleet) {
		for i, n := range []*node{f.nodes[0], f.nodes[1], f.nodes[len(f.nodes)-1]} {
			sentAt := time.Now()
			time.Sleep(200 * time.Millisecond)
			n.RequestQuarantine.RecordCrash([]quarantine.Key{deadly}, uint64(i), sentAt, time.Now())
		}
		f.requireHeldEverywhere(requestsOf, deadly, true, holdLimit)

		f.startGateway("late", "north", "10.0.9.1:7660")
		f.requireHeldEverywhere(requestsOf, deadly, true, holdLimit)

		f.nodes[1].RequestQuarantine.RecordCompletion([]quarantine.Key{deadly}, time.Now())
		f.requireHeldEverywhere(requestsOf, deadly, false, holdLimit)
	})
}
