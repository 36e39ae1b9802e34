// Package allowance keeps the requests of client accounts within their allowances over
// all gateways together. It is pure: no I/O, no clock, no random source; the current time
// is an argument, of a clock that goes on while the process is frozen.
//
// It answers the load of a few large accounts whose requests arrive at up to 295 gateways
// and move between data centres within a second. One gateway per account, the coordinator,
// holds a token bucket and hands out credit that lapses after a short time. The others ask
// ahead of their demand, so that a request seldom waits for credit.
//
// A gateway whose asks aren't answered uses its own part of the limit, one of as many as
// there are gateways, as soon as it is certain that the coordinator keeps back that part.
package allowance

import "time"

// Limit is the allowance of an account, in its unit.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// Bounds say by how much an account may exceed its limit: what runs in any Window costs at
// most (PerSecond × Window + Burst) × (1 + Overage) + Slack.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Ask is a request of a wallet for credit.
type Ask struct {
	// Need is what the waiting requests cost beyond the credit that the wallet has, First
	// the part of it without which not even the first of them can go.
	Need, First float64
	// Ahead is wanted for requests to come.
	Ahead float64
	// Returned is credit of this coordinator that lapsed unused.
	Returned float64
	// Unanswered is the time since the wallet last sent an ask that was answered, or since
	// its first ask if none was.
	Unanswered time.Duration
	// Leave is set if the gateway has no more requests and ends the contact.
	Leave bool
}

// Grant is the response to an Ask.
type Grant struct {
	Credit float64
	// TTL is how long the credit may be used, counted from when it was asked for.
	TTL time.Duration
	// RetryAfter is when requests that got no credit may be sent again; 0 if all did.
	RetryAfter time.Duration
	// Starting is set if the bucket grants nothing yet. The requests may wait.
	Starting bool
}

const (
	// returnTime is how long after its lapse credit can be returned: the time until the
	// wallet's next ask and a transit between regions.
	returnTime = 200 * time.Millisecond
	// minTTL is the shortest TTL: two transits between regions, and as much to use it. It
	// exceeds the bounds where they leave less room than that.
	minTTL = 250 * time.Millisecond
	// maxTTL bounds the credit that a gateway which is cut off or frozen goes on with.
	maxTTL = time.Second
	// lapseShare is the part of the overage that credit which lapses may take up. The rest
	// is for requests on their way to an endpoint and for credit given back late.
	lapseShare = 0.7
	// slackLapseShare and slackBurstShare are the same for the slack, and the part of it
	// by which the bucket of an account whose burst is below the cost of one request is
	// enlarged.
	slackLapseShare = 0.4
	slackBurstShare = 0.3
)

// horizon returns the time for which granted credit counts as outstanding: its TTL and
// returnTime. In a window, the credit of this much more time than the window can be used.
func horizon(l Limit, b Bounds) time.Duration {
	over := lapseShare*b.Overage*(l.PerSecond*b.Window.Seconds()+l.Burst) + slackLapseShare*b.Slack
	seconds := min(over/l.PerSecond, (maxTTL + returnTime).Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minTTL+returnTime)
}
