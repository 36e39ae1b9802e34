package edge

import (
	"net/http"
	"strings"
	"testing"

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
