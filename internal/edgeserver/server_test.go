package edgeserver_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/platform/platformtest"
)

// startUp is the longest time until gateways serve after their start.
const startUp = 5 * time.Second

// twoRegions starts three gateways and an endpoint in each region.
func twoRegions(t *testing.T) *system {
	s := newSystem(t)
	s.endpoint("i-n", "app", "north-a")
	s.endpoint("i-s", "app", "south-a")
	s.route("/q/", "app")
	s.start("n1", "north-a")
	s.start("n2", "north-a")
	s.start("s1", "south-a")
	for _, g := range s.gateways {
		s.within(startUp, "ready", g.ready)
	}
	s.within(startUp, "known to each other", func() bool {
		return len(s.gateways["n1"].resolve("north")) == 2 && len(s.gateways["n1"].resolve("south")) == 1 &&
			len(s.gateways["s1"].resolve("north")) == 2
	})
	return s
}

func TestServesAndFollowsOperators(t *testing.T) {
	t.Parallel()
	s := twoRegions(t)
	for _, g := range s.gateways {
		require.Equal(t, http.StatusOK, g.call("/q/x"))
		require.Equal(t, http.StatusNotFound, g.call("/new/x"))
	}
	s.route("/new/", "app")
	for _, g := range s.gateways {
		s.within(3*time.Second, "a new route is in force", func() bool {
			return g.call("/new/x") == http.StatusOK && g.call("/q/x") == http.StatusNotFound
		})
	}
	s.store.Put("op/evacuate/north-a", []byte("{}"))
	s.within(5*time.Second, "the north is left", func() bool {
		before := len(s.endpoints["i-n"].Executions())
		return s.gateways["n1"].call("/new/x") == http.StatusOK && s.gateways["n2"].call("/new/x") == http.StatusOK &&
			len(s.endpoints["i-n"].Executions()) == before
	})
	s.store.Delete("op/evacuate/north-a")
	s.within(5*time.Second, "and comes back", func() bool {
		before := len(s.endpoints["i-n"].Executions())
		s.gateways["n1"].call("/new/x")
		return len(s.endpoints["i-n"].Executions()) > before
	})
}

// TestLeavingEndpointsGetNothing checks the bound on requests after an endpoint
// said that it leaves, here and from another region.
func TestLeavingEndpointsGetNothing(t *testing.T) {
	t.Parallel()
	s := twoRegions(t)
	s.endpoints["i-n"].SetEntryField("state", "draining")
	require.NoError(t, s.endpoints["i-n"].WriteHeartbeat())
	time.Sleep(3 * time.Second)
	before := len(s.endpoints["i-n"].Executions())
	for range 20 {
		for _, g := range s.gateways {
			require.Equal(t, http.StatusOK, g.call("/q/x"))
		}
	}
	require.Equal(t, before, len(s.endpoints["i-n"].Executions()))
}

// TestServesWithoutTheStore takes the store away in each way, and replaces a
// gateway meanwhile.
func TestServesWithoutTheStore(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]platformtest.Faults{
		"busy":   {Status: http.StatusServiceUnavailable},
		"silent": {Unresponsive: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := twoRegions(t)
			s.store.SetFaults(faults)
			old := s.gateways["n2"]
			old.stop()
			require.NoError(t, <-old.done)
			g := s.start("n2", "north-a")
			s.within(startUp, "a gateway that starts meanwhile asks the others", g.ready)
			for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				for id, g := range s.gateways {
					require.Equal(t, http.StatusOK, g.call("/q/x"), id)
				}
			}
			s.store.SetFaults(platformtest.Faults{})
			s.route("/new/", "app")
			for _, g := range s.gateways {
				s.within(3*time.Second, "a change after the outage", func() bool { return g.call("/new/x") == http.StatusOK })
			}
		})
	}
}

// TestStopLosesNothing stops each gateway in turn under load, as callers that
// learn of it late go on calling it.
func TestStopLosesNothing(t *testing.T) {
	t.Parallel()
	s := twoRegions(t)
	for _, w := range s.endpoints {
		w.SetBehaviour(100*time.Millisecond, 0, 0)
	}
	stopping := s.gateways["n1"]
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	end := time.Now().Add(3 * time.Second)
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				g := stopping
				if !g.ready() {
					g = s.gateways["n2"]
				}
				status := g.call("/q/x")
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	stopping.stop()
	s.within(time.Second, "it says that it leaves", func() bool { return !stopping.ready() })
	s.within(2*time.Second, "and is not named any more", func() bool { return len(s.gateways["s1"].resolve("north")) == 1 })
	wg.Wait()
	require.NoError(t, <-stopping.done)
	require.Equal(t, map[int]int{http.StatusOK: statuses[http.StatusOK]}, statuses)
	require.Greater(t, statuses[http.StatusOK], 50)
	stopping.done <- nil
}

// TestKilledEndpointsAreLeft plays an endpoint that is gone without a word.
func TestKilledEndpointsAreLeft(t *testing.T) {
	t.Parallel()
	s := twoRegions(t)
	s.endpoint("i-n2", "app", "north-a")
	s.within(3*time.Second, "the new endpoint is used", func() bool {
		s.gateways["n1"].call("/q/x")
		return len(s.endpoints["i-n2"].Executions()) > 0
	})
	s.servers["i-n"].CloseClientConnections()
	s.servers["i-n"].Listener.Close()
	for range 30 {
		require.Equal(t, http.StatusOK, s.gateways["n1"].call("/q/x"))
	}
}
