package edge

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/account"
	"github.com/hickorystage/hickorystage/internal/allowance"
	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/route"
)

// limitedTestAccount returns an account with the key and the allowance.
func limitedTestAccount(name, key string, a account.Allowance) *account.Account {
	out := testAccount(name, key)
	out.Allowance = a
	return out
}

// runAllowances runs the loop that asks for credit until the end of the test.
func runAllowances(t *testing.T, e *Edge) {
	tb := new(tomb.Tomb)
	tb.Go(func() error { return Allowances{Edge: e}.Run(tb) })
	t.Cleanup(func() {
		tb.Kill(nil)
		require.NoError(t, tb.Wait())
	})
}

// fillBucket gives the gateway a bucket of the account as if it had been the coordinator
// for long.
func fillBucket(e *Edge, a *account.Account) {
	k := e.allowances
	k.mu.Lock()
	defer k.mu.Unlock()
	longAgo := k.now().Add(-1000 * time.Hour)
	c := &coordinatedAccount{bucket: allowance.NewBucket(longAgo)}
	c.bucket.Configure(limitOf(a), k.bounds())
	k.coordinated[a.Name] = c
}

// newAllowanceCluster is newAccountCluster with an account n1, whose key is k1, in force
// at all gateways.
func newAllowanceCluster(t *testing.T, a account.Allowance, names ...string) (*cluster, *account.Account) {
	c := newAccountCluster(t, names...)
	acc := limitedTestAccount("n1", "k1", a)
	for _, r := range c.regions {
		r.setAccounts(c, 7, acc, testAccount("n2", "k2"))
		runAllowances(t, r.edge)
		fillBucket(r.edge, acc)
	}
	return c, acc
}

// TestAccountOverItsAllowanceIsRefused guards against an account that keeps others from
// being served, and against refusals without a time after which to try again.
func TestAccountOverItsAllowanceIsRefused(t *testing.T) {
	c, _ := newAllowanceCluster(t, account.Allowance{RatePerSecond: 0.001, Burst: 3}, "north")
	north, e := c.regions["north"], c.startEndpoint("e1", "north-a")
	refusals := allowanceRefusals.Values()["n1"]
	for range 3 {
		require.Equal(t, http.StatusOK, north.call(http.MethodPost, "/q/", "", keyed("k1")).status)
	}
	a := north.call(http.MethodPost, "/q/", "", keyed("k1"))
	require.Equal(t, http.StatusTooManyRequests, a.status)
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Positive(t, seconds)
	require.Equal(t, refusals+1, allowanceRefusals.Values()["n1"])
	require.Equal(t, 3, requestCount(e))
	require.Equal(t, http.StatusOK, north.call(http.MethodPost, "/q/", "", keyed("k2")).status, "an account without a limit")
	require.Equal(t, http.StatusOK, north.call(http.MethodPost, "/open/", "", nil).status, "no account")
}

func TestTokensAreCharged(t *testing.T) {
	c, _ := newAllowanceCluster(t, account.Allowance{Unit: account.Tokens, PlainTokens: 50, RatePerSecond: 0.001, Burst: 210}, "north")
	north := c.regions["north"]
	c.startEndpoint("e1", "north-a")
	withTokens := keyed("k1")
	withTokens[headerPrompt] = "100"
	require.Equal(t, http.StatusOK, north.call(http.MethodPost, "/q/", "", withTokens).status, "100 prompt tokens and 10 output tokens")
	require.Equal(t, http.StatusOK, north.call(http.MethodPost, "/q/", "", keyed("k1")).status, "50 plain tokens")
	require.Equal(t, http.StatusTooManyRequests, north.call(http.MethodPost, "/q/", "", withTokens).status)
	require.Equal(t, http.StatusOK, north.call(http.MethodPost, "/q/", "", keyed("k1")).status)
	require.Equal(t, http.StatusTooManyRequests, north.call(http.MethodPost, "/q/", "", keyed("k1")).status)
}

// TestCreditOfRequestsThatDidNotRunGoesBack guards against an account that is charged for
// refusals of endpoints and for requests that no endpoint takes.
func TestCreditOfRequestsThatDidNotRunGoesBack(t *testing.T) {
	c, _ := newAllowanceCluster(t, account.Allowance{RatePerSecond: 0.001, Burst: 1}, "north")
	north := c.regions["north"]
	for range 5 {
		require.Equal(t, http.StatusServiceUnavailable, north.call(http.MethodPost, "/q/", "", keyed("k1")).status, "no endpoint")
	}
	e := c.startEndpoint("e1", "north-a")
	e.setHandler(respondNotRun)
	for range 3 {
		require.NotEqual(t, http.StatusTooManyRequests, north.call(http.MethodPost, "/q/", "", keyed("k1")).status, "refused by the endpoint")
	}
	e.setHandler(nil)
	require.Equal(t, http.StatusOK, north.call(http.MethodPost, "/q/", "", keyed("k1")).status)
	require.Equal(t, http.StatusTooManyRequests, north.call(http.MethodPost, "/q/", "", keyed("k1")).status)
}

// TestRetriesThatDidNotRunAreNotCharged guards against an account that pays for retries which
// no endpoint takes, or which an endpoint refuses.
func TestRetriesThatDidNotRunAreNotCharged(t *testing.T) {
	for name, takes := range map[string]bool{"no endpoint": false, "refused": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "north")
			c.addRoute(route.Route{Name: "closed", Prefix: "/q/", Kind: route.Idempotent, MaxAttempts: 3})
			north, acc := c.regions["north"], limitedTestAccount("n1", "k1", account.Allowance{RatePerSecond: 0.001, Burst: 2})
			north.setAccounts(c, 7, acc)
			runAllowances(t, north.edge)
			fillBucket(north.edge, acc)
			var first atomic.Bool
			failOnce := func(w http.ResponseWriter, r *http.Request) {
				if first.CompareAndSwap(false, true) {
					respondStatus(http.StatusInternalServerError)(w, r)
					return
				}
				respondNotRun(w, r)
			}
			endpoints := []*fakeEndpoint{c.startEndpoint("e1", "north-a")}
			if takes {
				endpoints = append(endpoints, c.startEndpoint("e2", "north-a"))
			}
			for _, e := range endpoints {
				e.setHandler(failOnce)
			}
			require.Equal(t, http.StatusBadGateway, north.call(http.MethodPost, "/q/", "", keyed("k1")).status)
			require.Equal(t, len(endpoints), requestCount(endpoints...))
			for _, e := range endpoints {
				e.setHandler(nil)
			}
			require.Equal(t, http.StatusOK, north.call(http.MethodPost, "/q/", "", keyed("k1")).status, "one of two was used")
			require.Equal(t, http.StatusTooManyRequests, north.call(http.MethodPost, "/q/", "", keyed("k1")).status)
		})
	}
}

// TestForwardedRequestIsChargedOnce guards against a charge at both gateways, and against
// none when the one in between doesn't answer.
func TestForwardedRequestIsChargedOnce(t *testing.T) {
	c, _ := newAllowanceCluster(t, account.Allowance{RatePerSecond: 0.001, Burst: 1}, "north", "south")
	c.startEndpoint("e1", "south-a")
	require.Equal(t, "answer of e1", c.regions["north"].call(http.MethodPost, "/q/", "", keyed("k1")).body)
	require.Equal(t, http.StatusTooManyRequests, c.regions["north"].call(http.MethodPost, "/q/", "", keyed("k1")).status)
	require.Empty(t, c.regions["south"].edge.allowances.accounts)
}

// TestAllowanceWaitEndsWithTheObjective guards against a request that waits for credit
// until its latency objective is missed.
func TestAllowanceWaitEndsWithTheObjective(t *testing.T) {
	c, _ := newAllowanceCluster(t, account.Allowance{RatePerSecond: 1}, "north")
	r := c.regions["north"]
	r.setAccounts(c, 8)
	s := r.place(t, "id-1").session
	require.Equal(t, maxAllowanceWait, s.allowanceWait(s.arrived))
	require.Equal(t, 60*time.Millisecond, s.allowanceWait(s.arrived.Add(900*time.Millisecond)))
	require.Zero(t, s.allowanceWait(s.arrived.Add(2*time.Second)))
}

// TestNewerLimitBinds guards against a coordinator that goes by its old configuration
// although the asking gateway has a newer one, or the other way round.
func TestNewerLimitBinds(t *testing.T) {
	c, acc := newAllowanceCluster(t, account.Allowance{RatePerSecond: 1, Burst: 10}, "north")
	k := c.regions["north"].edge.allowances
	ask := grants.CreditAsk{Account: "n1", Gateway: "g2", Version: 6, PerSecond: 1, Burst: 1e6, Need: 5e4, First: 5e4}
	require.Zero(t, k.answer(ask, time.Now()).Credit, "the limit here is newer")
	fillBucket(k.edge, acc)
	ask.Version = 8
	require.InDelta(t, 5e4, k.answer(ask, time.Now()).Credit, 0.1, "the limit of the other gateway is newer")
	c.regions["north"].setAccounts(c, 9, testAccount("n1", "k1"))
	require.InDelta(t, 5e4, k.answer(ask, time.Now()).Credit, 0.1, "lifted")
}
