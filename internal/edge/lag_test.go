package edge

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/streamversion"
)

func constantLag(lag time.Duration) func(time.Time) time.Duration {
	return func(time.Time) time.Duration { return lag }
}

// TestTimeBeforeARequestIsReadCountsAgainstItsDeadline guards against work for callers that have
// left: a gateway that reads late took their deadlines for later than they are.
func TestTimeBeforeARequestIsReadCountsAgainstItsDeadline(t *testing.T) {
	const (
		timeout = 10 * time.Second
		lag     = 2 * time.Second
	)
	for _, tc := range []struct {
		name, dataCentre string
		north, south     time.Duration
	}{
		{"direct", "north-a", lag, 0},
		{"forwarded late", "south-a", lag, 0},
		{"read late there", "south-a", 0, lag},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, "north", "south")
			c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent, MaxAttempts: 1, Timeout: timeout, Priority: 0})
			e := c.startEndpoint("e1", tc.dataCentre)
			c.regions["north"].edge.ReadLag = constantLag(tc.north)
			c.regions["south"].edge.ReadLag = constantLag(tc.south)
			require.Equal(t, http.StatusOK, c.regions["north"].call(http.MethodGet, "/q/", "", nil).status)
			remaining, err := strconv.Atoi(e.requests()[0].header.Get(headerRemaining))
			require.NoError(t, err)
			require.LessOrEqual(t, remaining, int((timeout - lag).Milliseconds()))
		})
	}
}

// TestRequestsReadAfterTheirDeadlineReachNoEndpoint guards against work for callers whose
// deadline passed before their request was read.
func TestRequestsReadAfterTheirDeadlineReachNoEndpoint(t *testing.T) {
	for _, dataCentre := range []string{"north-a", "south-a"} {
		c := newCluster(t, "north", "south")
		c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent, MaxAttempts: 1, Timeout: time.Second})
		e := c.startEndpoint("e1", dataCentre)
		c.regions["north"].edge.ReadLag = constantLag(1100 * time.Millisecond)
		require.Equal(t, http.StatusServiceUnavailable, c.regions["north"].call(http.MethodGet, "/q/", "", nil).status)
		require.Empty(t, e.requests())
	}
}

// TestGatewayBehindItsSocketsRefusesAtOnce guards against requests that wait in a gateway which
// is short of processor time until their callers give up. The most urgent are refused last.
func TestGatewayBehindItsSocketsRefusesAtOnce(t *testing.T) {
	for _, dataCentre := range []string{"north-a", "south-a"} {
		t.Run(dataCentre, func(t *testing.T) {
			c := newCluster(t, "north", "south")
			c.addRoute(route.Route{Prefix: "/urgent/", Kind: route.Idempotent, MaxAttempts: 1, Timeout: time.Minute})
			c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent, MaxAttempts: 1, Timeout: time.Minute, Priority: 5})
			e := c.startEndpoint("e1", dataCentre)
			north := c.regions["north"]
			north.edge.ReadLag = constantLag(time.Second)
			refused := map[string]int{}
			sent := 0
			for began := time.Now(); time.Since(began) < time.Second; {
				for _, path := range []string{"/urgent/", "/q/"} {
					sent++
					resp := north.call(http.MethodGet, path, "", nil)
					if resp.status == http.StatusOK {
						continue
					}
					require.Equal(t, http.StatusServiceUnavailable, resp.status)
					require.NotEmpty(t, resp.header.Get("Retry-After"))
					refused[path]++
				}
			}
			require.Positive(t, refused["/q/"])
			require.Greater(t, refused["/q/"], refused["/urgent/"])
			require.Equal(t, sent-refused["/q/"]-refused["/urgent/"], requestCount(e), "what was refused has not run")
			north.edge.ReadLag = nil
			c.hearAgain()
			require.Eventually(t, func() bool { return north.call(http.MethodGet, "/q/", "", nil).status == http.StatusOK }, 5*time.Second, 10*time.Millisecond)
		})
	}
}

// TestRestOfAStreamIsServedByAGatewayThatIsBehind guards against streams that are lost because
// the gateway that could go on with them refuses new requests.
func TestRestOfAStreamIsServedByAGatewayThatIsBehind(t *testing.T) {
	f := newStreamFleet(t, 1)
	endpoints := f.startVersions("v1")
	f.setVersions(endpoints, "v1")
	north := f.regions["gw-north-0"]
	north.edge.KeepStream(streamversion.Record{ID: streamversion.IDOf("a"), Service: "s", Version: "v1"}, time.Now())
	north.edge.ReadLag = constantLag(100 * time.Millisecond)
	refused := 0
	for i, began := 0, time.Now(); time.Since(began) < time.Second; i++ {
		if north.call(http.MethodPost, "/s/", "", map[string]string{headerID: "new-" + strconv.Itoa(i)}).status != http.StatusOK {
			refused++
		}
		require.Equal(t, http.StatusOK, north.takeUp("b-"+strconv.Itoa(i), "a", 2).status)
	}
	require.Positive(t, refused)
}
