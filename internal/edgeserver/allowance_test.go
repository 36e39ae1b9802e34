package edgeserver_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/platform/platformtest"
)

// coordinationLimit is far longer than it takes until a gateway coordinates accounts: the
// test doesn't measure how long.
const coordinationLimit = 30 * time.Second

// TestAllowanceHoldsOverAllGateways guards against gateways that each keep an account's
// allowance for themselves, and against asks for credit that don't reach the coordinator.
func TestAllowanceHoldsOverAllGateways(t *testing.T) {
	t.Parallel()
	const rate, burst, overage, slack = 2.0, 5.0, 0.1, 5.0
	s := newSystem(t)
	s.startEndpoint("i-n", "app", "north-a")
	e := s.endpoints["i-n"]
	s.startEndpoint("i-s", "app", "south-a")
	const config = `{"version":3,"routes":[{"name":"r","host":"a.example","prefix":"/q/","kind":"idempotent","timeout-ms":3000,"target-latency-ms":500,"service":"app","max-attempts":1}],"services":[{"name":"app"}]}`
	value, err := platformtest.WithLimitedAccount([]byte(config), "n1", "k1", rate, burst)
	require.NoError(t, err)
	s.store.PutConfig(value)
	for i, zone := range []string{"north-a", "north-a", "south-a"} {
		id := fmt.Sprint("g", i)
		site := s.newSite(id, zone)
		site.Limits.QuotaWindow, site.Limits.QuotaOverage, site.Limits.QuotaSlack = 8*time.Second, overage, slack
		s.gateways[id] = &gateway{site: site}
		s.startGateway(id, zone)
	}
	for _, g := range s.gateways {
		s.eventually(coordinationLimit, "serves", func() bool { return g.ready() && g.keyedCall("k1") == http.StatusOK })
		require.Equal(t, http.StatusUnauthorized, g.keyedCall("k2"))
	}
	before := len(e.Executions()) + len(s.endpoints["i-s"].Executions())
	began := time.Now()
	var mu sync.Mutex
	statuses := make(map[int]int)
	var calls sync.WaitGroup
	for _, g := range s.gateways {
		calls.Go(func() {
			for range 60 {
				status := g.keyedCall("k1")
				assert.Contains(t, []int{http.StatusOK, http.StatusTooManyRequests}, status)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	elapsed := time.Since(began).Seconds()
	ran := len(e.Executions()) + len(s.endpoints["i-s"].Executions()) - before
	require.NotZero(t, statuses[http.StatusOK])
	require.NotZero(t, statuses[http.StatusTooManyRequests])
	require.LessOrEqual(t, float64(ran), (rate*elapsed+burst)*(1+overage)+slack)
	t.Logf("ran %d in %.1f s, %v", ran, elapsed, statuses)
}

// keyedCall sends a request with a key and returns the status, 0 if there was none.
func (g *gateway) keyedCall(key string) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodGet, "http://"+g.site.CallerAddress+"/q/x", nil)
	if err != nil {
		return 0
	}
	req.Host = "a.example"
	platformtest.SetAttemptID(req.Header, fmt.Sprintf("%x", callID.Add(1)))
	platformtest.SetKey(req.Header, key)
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
