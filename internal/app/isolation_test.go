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

// isolationDuration returns how long the region is isolated. The environment
// variable ISOLATION_TIME overrides the default for longer manual runs.
func isolationDuration(t *testing.T) time.Duration {
	text := os.Getenv("ISOLATION_TIME")
	if text == "" {
		return 10 * time.Minute
	}
	d, err := time.ParseDuration(text)
	require.NoError(t, err)
	return d
}

// isolateRegion cuts a region off from all other regions.
func (d *testDeployment) isolateRegion(region string) {
	for _, other := range allRegions {
		if other != region {
			d.net.Partition(region, other)
		}
	}
}

func (d *testDeployment) healRegion(region string) {
	for _, other := range allRegions {
		d.net.Heal(region, other)
	}
}

// requireServes checks that the gateway serves a chat and a booking by ticket, and
// that the booking runs once.
func (d *testDeployment) requireServes(gw *testGateway, key string) {
	d.t.Helper()
	c := d.client(gw, key)
	s, err := c.Stream(context.Background(), chatBody("cut off"))
	require.NoError(d.t, err)
	require.Equal(d.t, 10, s.Chunks)
	before := d.executions()
	tickets := d.entries(c).Tickets
	a := d.book(c, tickets.Key(tickets.First))
	require.Equal(d.t, http.StatusOK, a.Status, string(a.Body))
	require.Equal(d.t, before+1, d.executions())
	c.HTTP.CloseIdleConnections()
}

func TestCutOffRegionServesAndRejoins(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		d.isolateRegion(gotaland)
		time.Sleep(30 * time.Second)
		newRevision := d.publish(intent.File{Name: "70-during-the-cut.yaml", Content: []byte("routing: {retry_ratio: 0.2}\n")})
		for end := time.Now().Add(isolationDuration(t)); time.Now().Before(end); time.Sleep(time.Minute) {
			d.requireServes(d.gateway("gw5-gotaland"), "demo-key-gotaland")
			d.requireServes(d.gateway("gw6-gotaland"), "demo-key-gotaland")
		}
		require.NoError(t, d.stop(d.gateway("gw5-gotaland")))
		newGateway := d.addGateway(gotaland, 7)
		newGateway.app.Board().Peers.Len()
		d.addSeed(newGateway, d.gateway("gw6-gotaland"))
		d.await(15*time.Second, "a gateway started during the partition gets the configuration from its peer", newGateway.isServing)
		require.Equal(t, uint64(1), newGateway.app.Board().Intent.Get().Revision)
		d.await(15*time.Second, "the new gateway knows its endpoints", func() bool { return newGateway.hasLoadReports(2) })
		d.requireServes(newGateway, "demo-key-gotaland")

		d.healRegion(gotaland)
		healed := time.Now()
		d.await(9*time.Second, "the newest revision is in force at every gateway", func() bool {
			for _, gw := range d.gateways {
				if gw.app.Board().Intent.Get().Revision != newRevision {
					return false
				}
			}
			return true
		})
		t.Logf("in force at every gateway %s after the partition ended", time.Since(healed))
		d.requireServes(newGateway, "demo-key-gotaland")
	})
}

func TestConfigurationIsInForceEverywhereWithinNineSeconds(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		for round := range 5 {
			revision := d.publish(intent.File{Name: "70-round.yaml", Content: []byte("routing: {retry_ratio: 0." + string(rune('1'+round)) + "}\n")})
			start := time.Now()
			d.await(9*time.Second, "the revision is in force at every gateway", func() bool {
				for _, gw := range d.gateways {
					if gw.app.Board().Intent.Get().Revision != revision {
						return false
					}
				}
				return true
			})
			t.Logf("revision %d in force at every gateway after %s", revision, time.Since(start))
		}
	})
}

func TestLeavingEndpointGetsNoNewWorkAfterThreeSeconds(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		stayingEngine := d.addEngine(svealand, "engine-b", "10.1.0.9:80")
		time.Sleep(5 * time.Second)
		leavingEngine := d.engines["engine-svealand"]
		c := d.client(d.gateway("gw1-svealand"), "demo-key-svealand")
		otherClient := d.client(d.gateway("gw2-svealand"), "demo-key-svealand")
		d.directory.PutInstance(platform.Instance{
			ID: "engine-svealand", Incarnation: "1", Group: "assistant", Region: svealand,
			Address: "10.1.0.1:80", State: platform.InstanceLeaving,
		})
		leavingEngine.MarkLeaving()
		for range 40 {
			for _, x := range []*caller.Client{c, otherClient} {
				s, err := x.Stream(context.Background(), chatBody("who serves"))
				require.NoError(t, err)
				require.Equal(t, 10, s.Chunks)
			}
		}
		work := leavingEngine.Stats()
		require.LessOrEqual(t, work.LatestAfterLeavingMillis, int64(3000))
		require.Equal(t, work.Completed, work.Attempts, "no request in flight was cut off")
		require.Positive(t, stayingEngine.Stats().Completed)
	})
}

// TestLeavingIsHeardFromPeersAlone checks that a leaving endpoint gets no new request
// after three seconds even when the instance list is down. Only the two gateways that
// poll the load of the engine see then that it is leaving; the others have to
// learn it from these two.
func TestLeavingIsHeardFromPeersAlone(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		gateways := []*testGateway{d.gateway("gw1-svealand"), d.gateway("gw2-svealand"), d.addGateway(svealand, 11), d.addGateway(svealand, 12)}
		stayingEngine := d.addEngine(svealand, "engine-b", "10.1.0.9:80")
		for _, gw := range gateways {
			d.await(20*time.Second, "the gateway serves and knows its endpoints", func() bool { return gw.isServing() && gw.hasLoadReports(3) })
		}
		d.kill(directoryAddress)
		leavingEngine := d.engines["engine-svealand"]
		leavingEngine.MarkLeaving()
		start := time.Now()
		var callers sync.WaitGroup
		failed := make(chan error, len(gateways))
		for _, gw := range gateways {
			c := d.client(gw, "demo-key-svealand")
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
		work := leavingEngine.Stats()
		require.LessOrEqual(t, work.LatestAfterLeavingMillis, int64(3000))
		require.Equal(t, work.Completed, work.Attempts, "no request in flight was cut off")
		require.Positive(t, stayingEngine.Stats().Completed)
	})
}

func TestRollingReplacementCutsNothing(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		stop := make(chan struct{})
		results := make(chan error, 3)
		entries := d.entries(d.client(d.gateway("gw1-svealand"), "demo-key-svealand")).Entries
		for range 3 {
			go func() { results <- d.streamChatsUntil(entries, stop) }()
		}
		for i, id := range []string{"gw1-svealand", "gw2-svealand"} {
			replacement := d.addGateway(svealand, 10+i)
			d.await(20*time.Second, "the replacement serves", func() bool { return replacement.isServing() && replacement.hasLoadReports(2) })
			require.NoError(t, d.stop(d.gateway(id)), "a graceful shutdown cuts off no request")
		}
		d.addEngine(svealand, "engine-c", "10.1.0.10:80")
		time.Sleep(5 * time.Second)
		d.directory.PutInstance(platform.Instance{
			ID: "engine-svealand", Incarnation: "1", Group: "assistant", Region: svealand,
			Address: "10.1.0.1:80", State: platform.InstanceLeaving,
		})
		d.engines["engine-svealand"].MarkLeaving()
		time.Sleep(15 * time.Second)
		work := d.engines["engine-svealand"].Stats()
		require.Zero(t, work.InFlight)
		require.LessOrEqual(t, work.LatestAfterLeavingMillis, int64(3000))
		require.Equal(t, work.Completed, work.Attempts, "no request in flight was cut off")
		d.kill("10.1.0.1:80")
		time.Sleep(10 * time.Second)
		close(stop)
		for range 3 {
			require.NoError(t, <-results)
		}
	})
}

// TestReplacingTheWholeFleetCutsNothing checks that no request is cut off while
// every gateway, engine and service of every region is replaced, one region after
// the other.
func TestReplacingTheWholeFleetCutsNothing(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		stop := make(chan struct{})
		results := make(chan error, 3)
		for i, region := range allRegions {
			key := "demo-key-" + region
			entries := d.entries(d.client(d.gateway(fmt.Sprintf("gw%d-%s", 2*i+1, region)), key)).Entries
			go func() { results <- d.streamChatsAs(key, region, entries, stop) }()
		}
		for i, region := range allRegions {
			d.replaceEndpoints(region, 20+i)
			for j := range 2 {
				old := d.gateway(fmt.Sprintf("gw%d-%s", 2*i+j+1, region))
				replacement := d.addGateway(region, 30+2*i+j)
				d.await(20*time.Second, "the replacement serves", func() bool { return replacement.isServing() && replacement.hasLoadReports(2) })
				require.NoError(t, d.stop(old), "a graceful shutdown cuts off no request")
			}
			d.requireServes(d.gateway(fmt.Sprintf("gw%d-%s", 30+2*i, region)), "demo-key-"+region)
		}
		close(stop)
		for range allRegions {
			require.NoError(t, <-results)
		}
		for id, e := range d.engines {
			work := e.Stats()
			require.Equal(t, work.Completed, work.Attempts, "no request in flight at %s was cut off", id)
		}
	})
}

// replaceEndpoints starts a new engine and a new service in a region, then marks
// the old ones as leaving and removes them after 15 s, when the engine has to be
// idle.
func (d *testDeployment) replaceEndpoints(region string, number int) {
	d.t.Helper()
	engineAddress, serviceAddress := d.addressOf("engine-"+region), d.addressOf("booking-"+region)
	d.addEngine(region, fmt.Sprintf("engine-%d", number), fmt.Sprintf("10.1.0.%d:80", number))
	d.addService(region, fmt.Sprintf("booking-%d", number), fmt.Sprintf("10.2.0.%d:80", number))
	time.Sleep(5 * time.Second)
	for id, group := range map[string]string{"engine-" + region: "assistant", "booking-" + region: "booking"} {
		d.directory.PutInstance(platform.Instance{
			ID: id, Incarnation: "1", Group: group, Region: region,
			Address: d.addressOf(id), State: platform.InstanceLeaving,
		})
	}
	d.engines["engine-"+region].MarkLeaving()
	time.Sleep(15 * time.Second)
	work := d.engines["engine-"+region].Stats()
	require.Zero(d.t, work.InFlight)
	require.LessOrEqual(d.t, work.LatestAfterLeavingMillis, int64(3000))
	for _, id := range []string{"engine-" + region, "booking-" + region} {
		d.directory.DeleteInstance(id)
	}
	d.kill(engineAddress)
	d.kill(serviceAddress)
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		c := d.client(d.gateway("gw1-svealand"), "demo-key-svealand")
		for range 3 {
			_, err := c.Stream(context.Background(), chatBody("warm up"))
			require.NoError(t, err)
		}
		require.Positive(t, d.net.SilenceTo("10.1.0.1:80"))
		d.net.SilenceTo(storeAddress)
		d.net.SilenceTo(directoryAddress)
		d.net.SilenceTo(d.gateway("gw2-svealand").peerAddress)
		start := time.Now()
		s, err := c.Stream(context.Background(), chatBody("after the silence"))
		require.NoError(t, err)
		require.Equal(t, 10, s.Chunks)
		require.Less(t, time.Since(start), 5*time.Second, "one silence timeout and a new connection")
		require.Equal(t, "used", d.endpointState("gw1-svealand", "engine-svealand"), "the endpoint is still used")
		for range 3 {
			time.AfterFunc(150*time.Millisecond, func() { d.net.SilenceTo("10.1.0.1:80") })
			start = time.Now()
			s, err = c.Stream(context.Background(), chatBody("silent under the stream"))
			require.NoError(t, err)
			require.Equal(t, 10, s.Chunks)
			require.Less(t, time.Since(start), 7*time.Second, "one silence timeout and a new connection")
			require.Equal(t, "used", d.endpointState("gw1-svealand", "engine-svealand"), "the endpoint is still used")
		}
		revision := d.publish(intent.File{Name: "70-x.yaml", Content: []byte("routing: {retry_ratio: 0.3}\n")})
		d.await(9*time.Second, "a new revision arrives over new connections", func() bool {
			return d.gateway("gw1-svealand").app.Board().Intent.Get().Revision == revision
		})
		synctest.Wait()
	})
}
