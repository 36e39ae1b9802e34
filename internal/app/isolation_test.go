package app

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/caller"
)

// isolationTime is how long the region is cut off; ISOLATION_TIME replaces it
// for longer runs by hand.
func isolationTime(t *testing.T) time.Duration {
	text := os.Getenv("ISOLATION_TIME")
	if text == "" {
		return 10 * time.Minute
	}
	d, err := time.ParseDuration(text)
	require.NoError(t, err)
	return d
}

func (w *world) cutOff(region string) {
	for _, other := range allRegions {
		if other != region {
			w.net.Cut(region, other)
		}
	}
}

func (w *world) heal(region string) {
	for _, other := range allRegions {
		w.net.Heal(region, other)
	}
}

// serveCallers sends a chat and a booking by ticket and checks both.
func (w *world) serveCallers(n *node, key string) {
	w.t.Helper()
	c := w.client(n, key)
	s, err := c.Stream(context.Background(), chatBody("cut off"))
	require.NoError(w.t, err)
	require.Equal(w.t, 10, s.Chunks)
	before := w.executions()
	tickets := w.entries(c).Tickets
	a := w.book(c, tickets.Key(tickets.First))
	require.Equal(w.t, http.StatusOK, a.Status, string(a.Body))
	require.Equal(w.t, before+1, w.executions())
	c.HTTP.CloseIdleConnections()
}

func TestCutOffRegionServesAndRejoins(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.cutOff(gotaland)
		time.Sleep(30 * time.Second)
		second := w.publish(intent.File{Name: "70-during-the-cut.yaml", Content: []byte("routing: {retry_ratio: 0.2}\n")})
		for end := time.Now().Add(isolationTime(t)); time.Now().Before(end); time.Sleep(time.Minute) {
			w.serveCallers(w.node("gw5-gotaland"), "demo-key-gotaland")
			w.serveCallers(w.node("gw6-gotaland"), "demo-key-gotaland")
		}
		require.NoError(t, w.stop(w.node("gw5-gotaland")))
		fresh := w.addGateway(gotaland, 7)
		fresh.app.Board().Peers.Len()
		w.seed(fresh, w.node("gw6-gotaland"))
		w.await(15*time.Second, "a gateway started during the cut gets the configuration of its peer", fresh.serving)
		require.Equal(t, uint64(1), fresh.app.Board().Intent.Get().Revision)
		w.await(15*time.Second, "and its endpoints", func() bool { return fresh.knows(2) })
		w.serveCallers(fresh, "demo-key-gotaland")

		w.heal(gotaland)
		healed := time.Now()
		w.await(9*time.Second, "the newest revision is in force in the rejoined region", func() bool {
			for _, n := range w.nodes {
				if n.app.Board().Intent.Get().Revision != second {
					return false
				}
			}
			return true
		})
		t.Logf("in force everywhere %s after the healing", time.Since(healed))
		w.serveCallers(fresh, "demo-key-gotaland")
	})
}

func TestConfigurationIsInForceEverywhereWithinNineSeconds(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		for round := range 5 {
			revision := w.publish(intent.File{Name: "70-round.yaml", Content: []byte("routing: {retry_ratio: 0." + string(rune('1'+round)) + "}\n")})
			start := time.Now()
			w.await(9*time.Second, "the revision is in force everywhere", func() bool {
				for _, n := range w.nodes {
					if n.app.Board().Intent.Get().Revision != revision {
						return false
					}
				}
				return true
			})
			t.Logf("revision %d in force everywhere after %s", revision, time.Since(start))
		}
	})
}

func TestLeavingEndpointGetsNoNewWorkAfterThreeSeconds(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		stays := w.addEngine(svealand, "engine-b", "10.1.0.9:80")
		time.Sleep(5 * time.Second)
		leaves := w.engines["engine-svealand"]
		c := w.client(w.node("gw1-svealand"), "demo-key-svealand")
		other := w.client(w.node("gw2-svealand"), "demo-key-svealand")
		w.directory.PutInstance(platform.Instance{
			ID: "engine-svealand", Incarnation: "1", Group: "assistant", Region: svealand,
			Address: "10.1.0.1:80", State: platform.InstanceLeaving,
		})
		leaves.MarkLeaving()
		for range 40 {
			for _, x := range []*caller.Client{c, other} {
				s, err := x.Stream(context.Background(), chatBody("who serves"))
				require.NoError(t, err)
				require.Equal(t, 10, s.Chunks)
			}
		}
		work := leaves.Stats()
		require.LessOrEqual(t, work.LatestAfterLeavingMillis, int64(3000))
		require.Equal(t, work.Completed, work.Attempts, "nothing in flight was cut off")
		require.Positive(t, stays.Stats().Completed)
	})
}

// TestLeavingIsHeardFromPeersAlone takes the instance list away, so that only
// the two gateways that ask the engine for its load see that it leaves; the
// others have it from them.
func TestLeavingIsHeardFromPeersAlone(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		gateways := []*node{w.node("gw1-svealand"), w.node("gw2-svealand"), w.addGateway(svealand, 11), w.addGateway(svealand, 12)}
		stays := w.addEngine(svealand, "engine-b", "10.1.0.9:80")
		for _, n := range gateways {
			w.await(20*time.Second, "the gateway knows its endpoints", func() bool { return n.serving() && n.knows(3) })
		}
		w.kill(directoryAddress)
		leaves := w.engines["engine-svealand"]
		leaves.MarkLeaving()
		start := time.Now()
		var callers sync.WaitGroup
		failed := make(chan error, len(gateways))
		for _, n := range gateways {
			c := w.client(n, "demo-key-svealand")
			callers.Go(func() {
				for time.Since(start) < 20*time.Second {
					if _, err := c.Stream(context.Background(), chatBody("who serves")); err != nil {
						failed <- err
						return
					}
				}
			})
		}
		callers.Wait()
		require.Empty(t, failed)
		work := leaves.Stats()
		require.LessOrEqual(t, work.LatestAfterLeavingMillis, int64(3000))
		require.Equal(t, work.Completed, work.Attempts, "nothing in flight was cut off")
		require.Positive(t, stays.Stats().Completed)
	})
}

func TestRollingReplacementCutsNothing(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		stop := make(chan struct{})
		results := make(chan error, 3)
		entries := w.entries(w.client(w.node("gw1-svealand"), "demo-key-svealand")).Entries
		for range 3 {
			go func() { results <- w.keepChatting(entries, stop) }()
		}
		for i, id := range []string{"gw1-svealand", "gw2-svealand"} {
			fresh := w.addGateway(svealand, 10+i)
			w.await(20*time.Second, "the replacement serves", func() bool { return fresh.serving() && fresh.knows(2) })
			require.NoError(t, w.stop(w.node(id)), "a graceful shutdown cuts nothing off")
		}
		w.addEngine(svealand, "engine-c", "10.1.0.10:80")
		time.Sleep(5 * time.Second)
		w.directory.PutInstance(platform.Instance{
			ID: "engine-svealand", Incarnation: "1", Group: "assistant", Region: svealand,
			Address: "10.1.0.1:80", State: platform.InstanceLeaving,
		})
		w.engines["engine-svealand"].MarkLeaving()
		time.Sleep(15 * time.Second)
		work := w.engines["engine-svealand"].Stats()
		require.Zero(t, work.InFlight)
		require.LessOrEqual(t, work.LatestAfterLeavingMillis, int64(3000))
		require.Equal(t, work.Completed, work.Attempts, "nothing in flight was cut off")
		w.kill("10.1.0.1:80")
		time.Sleep(10 * time.Second)
		close(stop)
		for range 3 {
			require.NoError(t, <-results)
		}
	})
}

// TestReplacingTheWholeFleetCutsNothing replaces every gateway, engine and
// service of every region, one after the other, while callers stream and book.
func TestReplacingTheWholeFleetCutsNothing(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		stop := make(chan struct{})
		results := make(chan error, 3)
		for i, region := range allRegions {
			key := "demo-key-" + region
			entries := w.entries(w.client(w.node(fmt.Sprintf("gw%d-%s", 2*i+1, region)), key)).Entries
			go func() { results <- w.keepChattingAs(key, region, entries, stop) }()
		}
		for i, region := range allRegions {
			w.replaceEndpoints(region, 20+i)
			for j := range 2 {
				old := w.node(fmt.Sprintf("gw%d-%s", 2*i+j+1, region))
				fresh := w.addGateway(region, 30+2*i+j)
				w.await(20*time.Second, "the replacement serves", func() bool { return fresh.serving() && fresh.knows(2) })
				require.NoError(t, w.stop(old), "a graceful shutdown cuts nothing off")
			}
			w.serveCallers(w.node(fmt.Sprintf("gw%d-%s", 30+2*i, region)), "demo-key-"+region)
		}
		close(stop)
		for range allRegions {
			require.NoError(t, <-results)
		}
		for id, e := range w.engines {
			work := e.Stats()
			require.Equal(t, work.Completed, work.Attempts, "nothing in flight was cut off at %s", id)
		}
	})
}

// replaceEndpoints starts another engine and another service in a region, then
// lets the old ones leave.
func (w *world) replaceEndpoints(region string, number int) {
	w.t.Helper()
	engineAddress, serviceAddress := w.addressOf("engine-"+region), w.addressOf("booking-"+region)
	w.addEngine(region, fmt.Sprintf("engine-%d", number), fmt.Sprintf("10.1.0.%d:80", number))
	w.addService(region, fmt.Sprintf("booking-%d", number), fmt.Sprintf("10.2.0.%d:80", number))
	time.Sleep(5 * time.Second)
	for id, group := range map[string]string{"engine-" + region: "assistant", "booking-" + region: "booking"} {
		w.directory.PutInstance(platform.Instance{
			ID: id, Incarnation: "1", Group: group, Region: region,
			Address: w.addressOf(id), State: platform.InstanceLeaving,
		})
	}
	w.engines["engine-"+region].MarkLeaving()
	time.Sleep(15 * time.Second)
	work := w.engines["engine-"+region].Stats()
	require.Zero(w.t, work.InFlight)
	require.LessOrEqual(w.t, work.LatestAfterLeavingMillis, int64(3000))
	for _, id := range []string{"engine-" + region, "booking-" + region} {
		w.directory.DeleteInstance(id)
	}
	w.kill(engineAddress)
	w.kill(serviceAddress)
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		c := w.client(w.node("gw1-svealand"), "demo-key-svealand")
		for range 3 {
			_, err := c.Stream(context.Background(), chatBody("warm up"))
			require.NoError(t, err)
		}
		require.Positive(t, w.net.SilenceTo("10.1.0.1:80"))
		w.net.SilenceTo(storeAddress)
		w.net.SilenceTo(directoryAddress)
		w.net.SilenceTo(w.node("gw2-svealand").peers)
		start := time.Now()
		s, err := c.Stream(context.Background(), chatBody("after the silence"))
		require.NoError(t, err)
		require.Equal(t, 10, s.Chunks)
		require.Less(t, time.Since(start), 5*time.Second, "one limit on silence and a new connection")
		require.Equal(t, "used", w.endpointState("gw1-svealand", "engine-svealand"), "the endpoint is not blamed")
		for range 3 {
			time.AfterFunc(150*time.Millisecond, func() { w.net.SilenceTo("10.1.0.1:80") })
			start = time.Now()
			s, err = c.Stream(context.Background(), chatBody("silent under the stream"))
			require.NoError(t, err)
			require.Equal(t, 10, s.Chunks)
			require.Less(t, time.Since(start), 7*time.Second, "one limit on silence and a new connection")
			require.Equal(t, "used", w.endpointState("gw1-svealand", "engine-svealand"), "the endpoint is not blamed")
		}
		revision := w.publish(intent.File{Name: "70-x.yaml", Content: []byte("routing: {retry_ratio: 0.3}\n")})
		w.await(9*time.Second, "a new revision comes through new connections", func() bool {
			return w.node("gw1-svealand").app.Board().Intent.Get().Revision == revision
		})
		synctest.Wait()
	})
}
