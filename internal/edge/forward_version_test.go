package edge

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/route"
)

// newVersionFixture returns two regions whose endpoints are all in the south. The route leads
// to service s in the older version, which both have, and to s2 in the newer one, which the
// north gets.
func newVersionFixture(t *testing.T) (c *cluster, newer *route.Table) {
	c = newCluster(t, "north", "south")
	c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent, MaxAttempts: 1})
	c.startEndpoint("old", "south-a")
	moved := c.startEndpoint("new", "south-a")
	c.setEntry(fleet.Endpoint{ID: "new", Service: "s2", DataCentre: "south-a", Slots: 8, Sequence: 1, Address: strings.TrimPrefix(moved.server.URL, "http://")})
	r := *c.routes[0]
	r.Targets = []route.Target{{Service: "s2"}}
	newer = route.NewTable(9, []*route.Route{&r}, []*route.Service{{Name: "s2"}}, c.limits)
	c.regions["north"].edge.Board.Routes.Set(newer)
	return c, newer
}

// TestGatewayDoesNotGoBackBehindAForward guards against a gateway that runs a forwarded request
// under the sender's newer version, and then one of its own callers under its older version.
func TestGatewayDoesNotGoBackBehindAForward(t *testing.T) {
	c, _ := newVersionFixture(t)
	forwarded := c.regions["north"].call(http.MethodGet, "/q/", "", nil)
	own := c.regions["south"].call(http.MethodGet, "/q/", "", map[string]string{headerID: "id-2"})
	require.False(t, forwarded.body == "answer of new" && own.body == "answer of old", "%q after %q", own.body, forwarded.body)
}

// fetchedConfigs lets the south fetch the newer configuration from the given gateway only.
type fetchedConfigs struct {
	edge   *Edge
	from   string
	newer  *route.Table
	failed []string
}

func (f *fetchedConfigs) Fetch(_ context.Context, gateway string, _ uint64) bool {
	if gateway != f.from {
		f.failed = append(f.failed, gateway)
		return false
	}
	f.edge.Board.Routes.Set(f.newer)
	return true
}

// TestForwardBringsANewerConfigurationIntoForce checks that a gateway that learns from a forward
// of a newer version serves it, and its own callers, by that version.
func TestForwardBringsANewerConfigurationIntoForce(t *testing.T) {
	c, newer := newVersionFixture(t)
	south := c.regions["south"].edge
	reader := fleet.GatewayStatus{Gateway: fleet.Gateway{ID: "reader", Incarnation: "1", Region: "south", MachineCapacity: 9}, Seq: 1}
	south.Gateways.ApplyStatus(reader, time.Now())
	for _, from := range []string{"reader", "gw-north"} {
		south.Board.Routes.Set(route.NewTable(1, c.routes, nil, c.limits))
		south.Configs = &fetchedConfigs{edge: south, from: from, newer: newer}
		require.Equal(t, "answer of new", c.regions["north"].call(http.MethodGet, "/q/", "", nil).body, from)
		require.Equal(t, "answer of new", c.regions["south"].call(http.MethodGet, "/q/", "", nil).body, from)
	}
	require.Equal(t, []string{"reader"}, south.Configs.(*fetchedConfigs).failed, "the own region is asked first")
}

// TestForwardAwaitsANewerConfigurationForAMoment checks a forward whose configuration is being
// fetched already, and one whose configuration doesn't come.
func TestForwardAwaitsANewerConfigurationForAMoment(t *testing.T) {
	c, newer := newVersionFixture(t)
	south := c.regions["south"].edge
	south.Configs = &fetchedConfigs{}
	began := time.Now()
	got := c.regions["north"].call(http.MethodGet, "/q/", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, got.status, "refused as not run")
	require.GreaterOrEqual(t, time.Since(began), newerConfigWait)
	time.AfterFunc(newerConfigWait/3, func() { south.Board.Routes.Set(newer) })
	require.Equal(t, "answer of new", c.regions["north"].call(http.MethodGet, "/q/", "", nil).body)
}
