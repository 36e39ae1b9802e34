package allowance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// fullBucket returns a bucket of the limit that has been filled at epoch.
func fullBucket(l Limit) *Bucket {
	b := NewBucket(epoch.Add(-time.Hour))
	b.Configure(l, testBounds)
	b.Grant(Ask{}, 1, epoch)
	return b
}

func TestBucketGrantsWhatIsThere(t *testing.T) {
	b := fullBucket(Limit{PerSecond: 1000, Burst: 10000})
	require.InDelta(t, 6000.0, b.Grant(Ask{Need: 6000, First: 3000}, 1, epoch).Credit, 0.1)
	g := b.Grant(Ask{Need: 9000, First: 3000}, 1, epoch)
	require.InDelta(t, 4000.0, g.Credit, 0.1, "the first request can go")
	require.Equal(t, maxRetryAfter, g.RetryAfter, "5,000 are missing at 1,000 a second")
	g = b.Grant(Ask{Need: 3000, First: 3000}, 1, at(time.Second))
	require.Zero(t, g.Credit, "less than one request is no use")
	require.InDelta(t, 3000.0, b.Grant(Ask{Need: 3000, First: 3000}, 1, at(3*time.Second)).Credit, 0.1)
}

// TestRequestDearerThanTheBurstCanGo guards against an account none of whose requests is
// ever served.
func TestRequestDearerThanTheBurstCanGo(t *testing.T) {
	b := fullBucket(Limit{PerSecond: 1000, Burst: 1000})
	ask := Ask{Need: 30000, First: 30000}
	require.Zero(t, b.Grant(ask, 1, epoch).Credit)
	for d := time.Second; d <= 28*time.Second; d += time.Second {
		require.Zero(t, b.Grant(ask, 1, at(d)).Credit)
	}
	require.InDelta(t, 30000.0, b.Grant(ask, 1, at(30*time.Second)).Credit, 0.1)
}

// TestReturnedCreditDoesNotExceedTheBound guards against credit that is counted twice when
// it is returned late or by a gateway that never had it.
func TestReturnedCreditDoesNotExceedTheBound(t *testing.T) {
	b := fullBucket(large)
	require.InDelta(t, large.Burst, b.Grant(Ask{Need: large.Burst, First: 1}, 1, epoch).Credit, 0.1)
	b.Grant(Ask{Returned: 1e12}, 1, at(time.Millisecond))
	require.InDelta(t, large.Burst, b.level, 1e4)
	require.Zero(t, b.outstandingSum)
	b.Grant(Ask{Returned: 1e12}, 1, at(2*time.Millisecond))
	require.InDelta(t, large.Burst, b.level, 1e4)
}

func TestStartingBucketGrantsNothing(t *testing.T) {
	b := NewBucket(epoch)
	b.Configure(large, testBounds)
	b.StartAt(at(time.Second))
	require.True(t, b.Grant(Ask{Need: 1, First: 1}, 1, at(time.Second-1)).Starting)
	require.Zero(t, b.Grant(Ask{Need: 1, First: 1}, 1, at(time.Second)).Credit, "it begins empty")
	require.InDelta(t, 10.0, b.Grant(Ask{Need: 10, First: 10}, 1, at(1010*time.Millisecond)).Credit, 0.1)
}

// verdict returns the verdict on a waiting request, nil if there is none.
func verdict(w *Waiter) *Verdict {
	select {
	case v := <-w.Done():
		return &v
	default:
		return nil
	}
}

func TestWaitingRequestsAreServedInTurn(t *testing.T) {
	w := NewWallet()
	require.False(t, w.Take(10, epoch))
	first := w.Wait(10)
	require.False(t, w.Take(30, epoch))
	second := w.Wait(30)
	ask, due := w.Due(epoch)
	require.True(t, due)
	require.InDelta(t, 40.0, ask.Need, 0.1)
	require.InDelta(t, 10.0, ask.First, 0.1)
	_, due = w.Due(epoch)
	require.False(t, due, "one ask at a time")
	later := w.Wait(5)
	w.Add(Grant{Credit: 20, TTL: time.Second, RetryAfter: 300 * time.Millisecond}, epoch, at(10*time.Millisecond))
	require.Equal(t, &Verdict{Granted: true}, verdict(first))
	require.Equal(t, &Verdict{RetryAfter: 300 * time.Millisecond}, verdict(second))
	require.Nil(t, verdict(later), "nothing was asked for it yet")
	require.False(t, w.Take(1, at(10*time.Millisecond)), "nobody overtakes it")
	w.GiveBack(10, at(10*time.Millisecond))
	require.Equal(t, &Verdict{Granted: true}, verdict(later))
}

// TestCreditLapses guards against a gateway that goes on with old credit after it was
// frozen or cut off, and against credit that is lost.
func TestCreditLapses(t *testing.T) {
	w := NewWallet()
	require.False(t, w.Take(10, epoch))
	w.SetCoordinator("a")
	_, due := w.Due(epoch)
	require.True(t, due)
	w.Add(Grant{Credit: 30, TTL: 400 * time.Millisecond}, epoch, at(110*time.Millisecond))
	require.True(t, w.Take(10, at(399*time.Millisecond)))
	require.False(t, w.Take(10, at(400*time.Millisecond)), "counted from when it was asked for")
	ask, _ := w.Due(at(590 * time.Millisecond))
	require.InDelta(t, 20.0, ask.Returned, 0.1)
	w.Add(Grant{Credit: 30, TTL: 400 * time.Millisecond}, at(590*time.Millisecond), at(time.Second))
	require.False(t, w.Take(1, at(time.Second)), "it lapsed on its way")
}

// TestCreditIsReturnedToItsCoordinatorOnly guards against a bucket that is filled with
// credit of another one.
func TestCreditIsReturnedToItsCoordinatorOnly(t *testing.T) {
	w := NewWallet()
	w.SetCoordinator("a")
	w.Take(10, epoch)
	w.Due(epoch)
	w.Add(Grant{Credit: 30, TTL: 400 * time.Millisecond}, epoch, at(time.Millisecond))
	w.SetCoordinator("b")
	ask, due := w.Due(at(500 * time.Millisecond))
	require.True(t, due)
	require.Zero(t, ask.Returned)
}

func TestChargeWithoutCreditIsPaidLater(t *testing.T) {
	w := NewWallet()
	w.Charge(50, epoch)
	ask, due := w.Due(epoch)
	require.True(t, due)
	require.InDelta(t, 50.0, ask.Need, 0.1)
	w.Add(Grant{Credit: 60, TTL: time.Second}, epoch, epoch)
	require.False(t, w.Take(11, epoch))
	require.True(t, w.Take(10, epoch))
}

// TestUnansweredGatewayIsAlone guards against a gateway that uses its own part of the
// limit while the coordinator still hands it out, or never does.
func TestUnansweredGatewayIsAlone(t *testing.T) {
	w, c := NewWallet(), &Contacts{}
	require.False(t, w.Alone(epoch))
	lastHeard := epoch
	for d := time.Duration(0); d < 5*time.Second; d += 10 * time.Millisecond {
		isAnswered := d < time.Second
		w.Take(1, at(d))
		if w.Alone(at(d)) {
			require.True(t, c.IsLost("g", at(d)), "heard at %v, alone at %v", lastHeard.Sub(epoch), d)
			continue
		}
		if ask, due := w.Due(at(d)); due {
			if c.Record("g", ask, at(d)) {
				lastHeard = at(d)
			}
			if isAnswered {
				w.Reached(at(d), ask.Leave)
				w.Add(Grant{Credit: 2, TTL: minTTL}, at(d), at(d))
			}
		}
	}
	require.True(t, w.Alone(at(2200*time.Millisecond)))
	probe, due := w.Probe(at(5 * time.Second))
	require.True(t, due)
	require.False(t, c.Record("g", probe, at(5*time.Second)), "no credit for a gateway that uses its own")
	w.Reached(at(5*time.Second), false)
	require.False(t, w.Alone(at(5*time.Second)))
}

// TestClaimedGatewaysAreLost guards against a coordinator that hands out the parts of
// gateways which another one serves, and against one that never does again.
func TestClaimedGatewaysAreLost(t *testing.T) {
	c := &Contacts{}
	c.Claim([]string{"g", "h"}, epoch)
	require.True(t, c.IsLost("g", at(claimTime-1)))
	require.False(t, c.IsLost("g", at(claimTime)))
	require.False(t, c.IsLost("i", epoch))
	c.Record("g", Ask{}, epoch)
	c.Record("h", Ask{}, at(2*time.Second))
	require.True(t, c.IsLost("g", at(2*time.Second)), "silent")
	c.Remove(at(forgetTime), func(id string) bool { return id != "h" })
	require.False(t, c.IsLost("g", at(forgetTime)), "forgotten")
	require.Empty(t, c.gateways)
	require.Empty(t, c.claims)
}

// TestGatewaysWithoutRequestsEndTheContact guards against a coordinator that keeps back
// the parts of gateways that have no requests any more.
func TestGatewaysWithoutRequestsEndTheContact(t *testing.T) {
	w, c := NewWallet(), &Contacts{}
	w.Take(1, epoch)
	for d := time.Duration(0); d < 5*time.Second; d += 10 * time.Millisecond {
		if ask, due := w.Due(at(d)); due {
			require.True(t, c.Record("g", ask, at(d)))
			w.Reached(at(d), ask.Leave)
			w.Add(Grant{TTL: time.Second}, at(d), at(d))
		}
		require.False(t, c.IsLost("g", at(d)))
	}
	require.True(t, w.IsIdle(at(5*time.Second)))
	_, due := w.Due(at(time.Minute))
	require.False(t, due)
	require.False(t, c.IsLost("g", at(time.Minute)))
}
