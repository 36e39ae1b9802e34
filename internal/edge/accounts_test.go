package edge

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/account"
	"github.com/hickorystage/hickorystage/internal/freshness"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/settings"
)

// testAccount returns an account with one key.
func testAccount(name, key string, homes ...string) *account.Account {
	return &account.Account{Name: name, Keys: []account.Digest{account.DigestOf(key)}, HomeRegions: homes}
}

// setAccounts puts a version with the routes of the cluster and the accounts in force at
// a gateway.
func (r *region) setAccounts(c *cluster, version uint64, accounts ...*account.Account) {
	r.t.Helper()
	table := route.NewTable(version, c.routes, []*route.Service{{Name: "s"}}, c.limits)
	if accounts != nil {
		index, err := account.NewIndex(accounts)
		require.NoError(r.t, err)
		table.Accounts = index
	}
	r.edge.Board.Routes.Set(table)
}

// keyed returns the header of a request with a key.
func keyed(key string) map[string]string { return map[string]string{headerKey: key} }

// newAccountCluster starts a gateway in each region, with a route that needs a key and a
// public one.
func newAccountCluster(t *testing.T, names ...string) *cluster {
	c := newCluster(t, names...)
	c.addRoute(route.Route{Name: "closed", Prefix: "/q/", Kind: route.NonIdempotent, Priority: 4})
	c.addRoute(route.Route{Name: "open", Prefix: "/open/", Kind: route.NonIdempotent, Public: true})
	return c
}

func TestKeysAreChecked(t *testing.T) {
	c := newAccountCluster(t, "north")
	north, e := c.regions["north"], c.startEndpoint("e1", "north-a")
	urgent := testAccount("n1", "k1")
	urgent.Priority = new(int)
	north.setAccounts(c, 7, urgent, testAccount("n2", "k2"))
	for _, header := range []map[string]string{nil, keyed("k"), {headerAccount: "n1"}, keyed(account.DigestOf("k1").String())} {
		a := north.call(http.MethodPost, "/q/", "", header)
		require.Equal(t, http.StatusUnauthorized, a.status)
		require.Equal(t, "Bearer", a.header.Get("WWW-Authenticate"))
	}
	require.Zero(t, requestCount(e))
	require.Equal(t, http.StatusNotFound, north.call(http.MethodPost, "/other/", "", nil).status, "the route is checked first")
	require.Equal(t, http.StatusUnauthorized, north.call(http.MethodPost, "/q/", "", map[string]string{headerID: ""}).status, "a key is checked before the attempt id")

	require.Equal(t, "answer of e1", north.call(http.MethodPost, "/q/", "", map[string]string{headerKey: "k1", headerAccount: "n2"}).body)
	require.Equal(t, "answer of e1", north.call(http.MethodPost, "/q/", "", keyed("k2")).body)
	require.Equal(t, "answer of e1", north.call(http.MethodPost, "/open/", "", map[string]string{headerKey: "wrong", headerAccount: "n2"}).body)
	require.Equal(t, "answer of e1", north.call(http.MethodPost, "/open/", "", keyed("k2")).body)
	want := []struct{ account, urgency string }{{"n1", "0"}, {"n2", "4"}, {"", "0"}, {"n2", "0"}}
	require.Len(t, e.requests(), len(want))
	for i, got := range e.requests() {
		require.Equal(t, want[i].account, got.header.Get(headerAccount))
		require.Equal(t, want[i].urgency, got.header.Get(headerUrgency))
		require.Empty(t, got.header.Get(headerKey), "a key is never passed on")
	}
}

// TestConfigsWithoutAccountsPassBothHeaders guards against a change for deployments
// without accounts.
func TestConfigsWithoutAccountsPassBothHeaders(t *testing.T) {
	c := newAccountCluster(t, "north", "south")
	e := c.startEndpoint("e1", "south-a")
	for _, r := range c.regions {
		r.setAccounts(c, 7)
		require.Equal(t, "answer of e1", r.call(http.MethodPost, "/q/", "", map[string]string{headerKey: "k", headerAccount: "x"}).body)
	}
	for _, got := range e.requests() {
		require.Equal(t, "k", got.header.Get(headerKey))
		require.Equal(t, "x", got.header.Get(headerAccount))
	}
}

// TestKeysAreNotLogged guards against keys in log lines of requests that are refused,
// served and forwarded.
func TestKeysAreNotLogged(t *testing.T) {
	c := newAccountCluster(t, "north", "south")
	var out bytes.Buffer
	logger := log.NewWithOptions(&out, log.Options{Level: log.DebugLevel})
	c.startEndpoint("e1", "south-a")
	for _, r := range c.regions {
		r.edge.Logger = logger
		r.setAccounts(c, 7, testAccount("n1", "secret-known"))
		r.call(http.MethodPost, "/q/", "", keyed("secret-known"))
		r.call(http.MethodPost, "/q/", "", keyed("secret-unknown"))
	}
	require.Contains(t, out.String(), "unauthorized")
	require.NotContains(t, out.String(), "secret")
	require.Contains(t, out.String(), account.DigestOf("secret-unknown").String()[:digestPrefixLen])
}

// TestHomesOfAccountAndRouteBothBind checks where requests run that the route or the
// account keeps in one region.
func TestHomesOfAccountAndRouteBothBind(t *testing.T) {
	c := newAccountCluster(t, "north", "south")
	c.addRoute(route.Route{Prefix: "/south/", Kind: route.NonIdempotent, HomeRegions: []string{"south"}})
	n, s := c.startEndpoint("n", "north-a"), c.startEndpoint("s", "south-a")
	for _, r := range c.regions {
		r.setAccounts(c, 7, testAccount("n1", "k1", "north"), testAccount("s1", "k2", "south"), testAccount("any", "k3"))
		require.Equal(t, "answer of n", r.call(http.MethodPost, "/q/", "", keyed("k1")).body)
		require.Equal(t, "answer of s", r.call(http.MethodPost, "/q/", "", keyed("k2")).body)
		require.Equal(t, "answer of s", r.call(http.MethodPost, "/open/", "", keyed("k2")).body, "a known key binds on public routes too")
		require.Equal(t, "answer of s", r.call(http.MethodPost, "/south/", "", keyed("k3")).body)
		require.Equal(t, http.StatusServiceUnavailable, r.call(http.MethodPost, "/south/", "", keyed("k1")).status)
	}
	require.Equal(t, 2, requestCount(n))
	require.Equal(t, 6, requestCount(s))
}

// TestReceiversEnforceHomesOfAccounts guards against a request that a gateway with an
// older configuration sends to a region that is no home any more.
func TestReceiversEnforceHomesOfAccounts(t *testing.T) {
	c := newAccountCluster(t, "north", "south")
	s := c.startEndpoint("s", "south-a")
	c.regions["north"].setAccounts(c, 7, testAccount("n1", "k1"))
	c.regions["south"].setAccounts(c, 8, testAccount("n1", "k1", "north"))
	require.Equal(t, http.StatusServiceUnavailable, c.regions["north"].call(http.MethodPost, "/q/", "", keyed("k1")).status)
	require.Zero(t, requestCount(s))
}

// TestForwardsBetweenVersions checks who decides on the key while the configurations of
// the two gateways of a forward differ.
func TestForwardsBetweenVersions(t *testing.T) {
	newer, older := uint64(8), uint64(7)
	for name, tc := range map[string]struct {
		sender, receiver uint64
		known            []*account.Account
		key              string
		status           int
		account          string
	}{
		"same version":              {older, older, []*account.Account{testAccount("n1", "k1")}, "k1", http.StatusOK, "n1"},
		"receiver has revoked":      {older, newer, []*account.Account{testAccount("n1", "other")}, "k1", http.StatusUnauthorized, ""},
		"receiver doesn't know yet": {newer, older, []*account.Account{testAccount("n2", "k2")}, "k1", http.StatusOK, "n1"},
		"receiver had no accounts":  {newer, older, nil, "k1", http.StatusOK, "n1"},
		"receiver has none now":     {older, newer, nil, "k1", http.StatusOK, ""},
		"key has moved":             {older, newer, []*account.Account{testAccount("n2", "k1")}, "k1", http.StatusOK, "n2"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newAccountCluster(t, "north", "south")
			s := c.startEndpoint("s", "south-a")
			c.regions["north"].setAccounts(c, tc.sender, testAccount("n1", "k1"))
			c.regions["south"].setAccounts(c, tc.receiver, tc.known...)
			a := c.regions["north"].call(http.MethodPost, "/q/", "", keyed(tc.key))
			require.Equal(t, tc.status, a.status)
			if tc.status != http.StatusOK {
				require.Zero(t, requestCount(s))
				return
			}
			require.Equal(t, tc.account, s.requests()[0].header.Get(headerAccount))
			require.Empty(t, s.requests()[0].header.Get(headerKey))
		})
	}
}

// TestForwardsFromVersionsWithoutAccounts checks the key at the receiver while the sender
// doesn't have the first version with accounts.
func TestForwardsFromVersionsWithoutAccounts(t *testing.T) {
	c := newAccountCluster(t, "north", "south")
	s := c.startEndpoint("s", "south-a")
	c.regions["north"].setAccounts(c, 7)
	c.regions["south"].setAccounts(c, 8, testAccount("n1", "k1"))
	require.Equal(t, http.StatusUnauthorized, c.regions["north"].call(http.MethodPost, "/q/", "", nil).status)
	require.Equal(t, http.StatusUnauthorized, c.regions["north"].call(http.MethodPost, "/q/", "", keyed("k")).status)
	require.Equal(t, "answer of s", c.regions["north"].call(http.MethodPost, "/open/", "", keyed("k")).body)
	require.Equal(t, "answer of s", c.regions["north"].call(http.MethodPost, "/q/", "", keyed("k1")).body)
	require.Len(t, s.requests(), 2)
	require.Empty(t, s.requests()[0].header.Get(headerAccount))
	require.Equal(t, "n1", s.requests()[1].header.Get(headerAccount))
}

// TestCallersCantSetGatewayHeaders guards against a caller that names an account in the
// header with which gateways forward, or pretends to be a gateway in a response header.
func TestCallersCantSetGatewayHeaders(t *testing.T) {
	c := newAccountCluster(t, "north", "south")
	s := c.startEndpoint("s", "south-a")
	for _, r := range c.regions {
		r.setAccounts(c, 7, testAccount("n1", "k1"))
		forged, err := json.Marshal(forwardInfo{Account: "n1", KeyDigest: account.DigestOf("k1").String(), Version: 9, Service: "s", RemainingMillis: 5000})
		require.NoError(t, err)
		header := map[string]string{headerForward: string(forged), headerOutcome: "not_run"}
		require.Equal(t, http.StatusUnauthorized, r.call(http.MethodPost, "/q/", "", header).status)
		require.Equal(t, "answer of s", r.call(http.MethodPost, "/open/", "", header).body)
	}
	for _, got := range s.requests() {
		require.Empty(t, got.header.Get(headerForward))
		require.Empty(t, got.header.Get(headerOutcome))
		require.Empty(t, got.header.Get(headerAccount))
	}
}

// TestEndpointsCantSpeakForGateways guards against an endpoint whose response makes the
// forwarding gateway take a request that has run for one that has not.
func TestEndpointsCantSpeakForGateways(t *testing.T) {
	c := newAccountCluster(t, "north", "south")
	s := c.startEndpoint("s", "south-a")
	s.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerOutcome, "not_run")
		w.WriteHeader(http.StatusUnauthorized)
	})
	a := c.regions["north"].call(http.MethodPost, "/q/", "", nil)
	require.Equal(t, http.StatusUnauthorized, a.status)
	require.Equal(t, 1, requestCount(s))
	require.Empty(t, a.header.Get(headerOutcome))
}

// TestDirectoryCountsHomesOfAccounts checks the region that is named while that of the
// caller has no gateway.
func TestDirectoryCountsHomesOfAccounts(t *testing.T) {
	c := newAccountCluster(t, "north", "south")
	north := c.regions["north"]
	north.setAccounts(c, 7, testAccount("a", "k1", "south"), testAccount("b", "k2", "south"), testAccount("c", "k3", "north"))
	addresses, _ := north.edge.Addresses("a.example", "west")
	require.Equal(t, []string{"caller-south"}, addresses)
}

// setClock is a freshness.Clock that tests set.
type setClock struct{ now atomic.Int64 }

func (c *setClock) Now() freshness.Instant { return freshness.Instant(c.now.Load()) }

func (c *setClock) advance(d time.Duration) { c.now.Add(int64(d)) }

// makeStrict makes a gateway ask for proofs, and returns its clock.
func (r *region) makeStrict() *setClock {
	strict := *testSite
	strict.Limits = settings.Limits{RevokeStrict: true, Revocation: 5 * time.Second}
	r.edge.Board.Settings.Set(&strict)
	clock := &setClock{}
	clock.advance(time.Hour)
	r.edge.Freshness = Freshness{Tracker: freshness.NewTracker(time.Second), Clock: clock}
	return clock
}

// TestKeysNeedAProof checks what a gateway serves whose configuration isn't known to be
// current, for example since it has been frozen.
func TestKeysNeedAProof(t *testing.T) {
	c := newAccountCluster(t, "north")
	north, e := c.regions["north"], c.startEndpoint("e1", "north-a")
	clock := north.makeStrict()
	north.setAccounts(c, 7, testAccount("n1", "k1"))
	expect := func(status int) {
		t.Helper()
		a := north.call(http.MethodPost, "/q/", "", keyed("k1"))
		require.Equal(t, status, a.status)
		if status != http.StatusOK {
			require.NotEmpty(t, a.header.Get("Retry-After"))
		}
	}
	expect(http.StatusServiceUnavailable)
	north.edge.Freshness.Tracker.Observe(freshness.Observation{AsOf: clock.Now(), Version: 7}, 7, clock.Now())
	expect(http.StatusOK)
	clock.advance(5 * time.Second)
	expect(http.StatusOK)
	clock.advance(time.Millisecond)
	expect(http.StatusServiceUnavailable)
	require.Equal(t, http.StatusUnauthorized, north.call(http.MethodPost, "/q/", "", keyed("k")).status)
	require.Equal(t, http.StatusOK, north.call(http.MethodPost, "/open/", "", keyed("k1")).status, "public routes go on")
	requests := e.requests()
	require.Len(t, requests, 3)
	require.Equal(t, "n1", requests[1].header.Get(headerAccount))
	require.Empty(t, requests[2].header.Get(headerAccount), "a key that may have been taken away names no account")

	north.setAccounts(c, 8)
	expect(http.StatusOK)
}

// TestAccountsAreCounted checks that the number of counters is bounded, since names of
// accounts come and go with the configuration.
func TestAccountsAreCounted(t *testing.T) {
	c := newAccountCluster(t, "north")
	north := c.regions["north"]
	c.startEndpoint("e1", "north-a")
	var accounts []*account.Account
	for i := range maxCountedAccounts + 10 {
		name := strings.Repeat("a", i+1)
		accounts = append(accounts, testAccount(name, name))
	}
	north.setAccounts(c, 7, accounts...)
	before := accountRequests.Values()[""]
	for _, a := range accounts {
		require.Equal(t, http.StatusOK, north.call(http.MethodPost, "/q/", "", keyed(a.Name)).status)
	}
	values := accountRequests.Values()
	require.LessOrEqual(t, len(values), maxCountedAccounts+1)
	require.GreaterOrEqual(t, values[""], before+10)
}
