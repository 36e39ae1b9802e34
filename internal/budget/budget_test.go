package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func TestRetriesStayWithinBudget(t *testing.T) {
	r := NewRetryBudget(RetrySettings{Ratio: 0.2, Slack: 50, Window: 10 * time.Second})
	for range 100 {
		r.RecordRequest("s", start)
	}
	n := 0
	for r.TrySpend("s", 5, start) {
		n++
	}
	require.Equal(t, 24, n, "0.8 of 0.2 x 100 + 50 / 5")
	require.False(t, r.TrySpend("s", 5, start.Add(9*time.Second)))
	require.True(t, r.TrySpend("s", 5, start.Add(11*time.Second)), "the window has passed, but the slack remains")
	require.True(t, r.TrySpend("other", 5, start), "each service has its own budget")
}

// TestRetriesOfAllGatewaysInAnyWindow lets several gateways spend their whole
// budgets and checks the limit on their sum in every window.
func TestRetriesOfAllGatewaysInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways, ratio, slack = 4, 0.2, 40.0
		window := 10 * time.Second
		var requests, retries []time.Time
		all := make([]*RetryBudget, gateways)
		for i := range all {
			all[i] = NewRetryBudget(RetrySettings{Ratio: ratio, Slack: slack, Window: window})
		}
		now := start
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			g := all[rapid.IntRange(0, gateways-1).Draw(t, "gateway")]
			if rapid.Bool().Draw(t, "request") {
				g.RecordRequest("s", now)
				requests = append(requests, now)
			}
			for g.TrySpend("s", gateways, now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			from := end.Add(-window)
			// The limit follows the requests of this window or of the one half a
			// window earlier.
			requested := max(count(requests, from, end), count(requests, from.Add(-window/2), end.Add(-window/2)))
			require.LessOrEqual(t, float64(count(retries, from, end)), ratio*float64(requested)+slack)
		}
	})
}

func count(times []time.Time, after, until time.Time) int {
	n := 0
	for _, x := range times {
		if x.After(after) && !x.After(until) {
			n++
		}
	}
	return n
}

func TestRetryBudgetConfigure(t *testing.T) {
	r := NewRetryBudget(RetrySettings{Ratio: 0.2, Slack: 0, Window: 10 * time.Second})
	require.False(t, r.TrySpend("s", 1, start))
	r.Configure(RetrySettings{Ratio: 0.2, Slack: 10, Window: 10 * time.Second})
	require.True(t, r.TrySpend("s", 1, start))
}

// TestColdStartRequestsInAnySecond lets the configured number of gateways send
// as much as they may and checks the limit on their sum in every second.
func TestColdStartRequestsInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := ColdStartSettings{Overage: 1.5, Slack: 3, ConcurrentSenders: 3}
		const rate = 2.4
		senders := []*ColdStartLimiter{NewColdStartLimiter(settings), NewColdStartLimiter(settings), NewColdStartLimiter(settings)}
		var sent []time.Time
		now := start
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			for _, c := range senders {
				if c.Allows("e", rate, now) {
					c.Record("e", now)
					sent = append(sent, now)
				}
			}
		}
		for _, end := range sent {
			require.LessOrEqual(t, float64(count(sent, end.Add(-time.Second), end)), rate*settings.Overage+settings.Slack)
		}
	})
}

func TestColdStartLimiterWithoutRate(t *testing.T) {
	c := NewColdStartLimiter(ColdStartSettings{})
	require.True(t, c.Allows("e", 0, start))
	require.False(t, c.Allows("e", 1, start))
	c.Configure(ColdStartSettings{Overage: 1, Slack: 1, ConcurrentSenders: 1})
	require.True(t, c.Allows("e", 1, start))
}
