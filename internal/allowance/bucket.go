package allowance

import "time"

const (
	// aheadShare is the part of the bucket that is kept for requests that wait, and
	// aheadRequests the number of large requests for which it is kept at least: credit
	// ahead of the demand is granted only from what exceeds both, and no more than
	// aheadShare of the bucket to one gateway.
	aheadShare    = 0.25
	aheadRequests = 4
	// longTTLShare is the part of the credit that may be outstanding up to which credit
	// gets maxTTL. It saves messages for accounts far below their limit.
	longTTLShare = 1.0
	// minRetryAfter and maxRetryAfter bound what refused requests are told.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Bucket is the token bucket of one account at its coordinator. It is not safe for
// concurrent use.
//
// What it holds and what is outstanding never exceed the capacity by more than the limit
// of one horizon, also when credit that was granted long ago is returned. So what is used
// in a window exceeds the limit by no more than that.
type Bucket struct {
	limit  Limit
	bounds Bounds
	share  float64
	level  float64
	// filledAt is when the level was computed, startsAt when the bucket begins to grant.
	filledAt, startsAt time.Time
	// outstanding is credit that may still be used or returned, in the order of its lapse;
	// outstandingSum is its sum.
	outstanding    []lot
	outstandingSum float64
	// denied is the cost of the requests that were lately refused, less what has been
	// refilled since.
	denied float64
	// largest is the cost of the largest request that waited lately, until largestUntil.
	largest      float64
	largestUntil time.Time
}

// lot is credit that lapses at a time.
type lot struct {
	amount    float64
	expiresAt time.Time
	// returnable is set in a wallet if the current coordinator granted it.
	returnable bool
}

// NewBucket returns an empty bucket, since another gateway may have handed out the limit
// until now.
func NewBucket(now time.Time) *Bucket { return &Bucket{filledAt: now, startsAt: now} }

// Configure sets the limit, whose PerSecond must be above 0, and the bounds.
func (b *Bucket) Configure(l Limit, bounds Bounds) { b.limit, b.bounds = l, bounds }

// StartAt lets the bucket be empty and grant nothing until the given time.
func (b *Bucket) StartAt(at time.Time) {
	if at.After(b.startsAt) {
		b.startsAt = at
	}
}

// IsStarting reports whether the bucket grants nothing yet. Its asks are answered by a
// Grant that says so, and no more.
func (b *Bucket) IsStarting(now time.Time) bool { return now.Before(b.startsAt) }

// Level returns what the bucket holds.
func (b *Bucket) Level() float64 { return b.level }

// Grant decides on an ask. share is the part of the limit that this gateway may hand out,
// above 0 and at most 1.
func (b *Bucket) Grant(ask Ask, share float64, now time.Time) Grant {
	if ask.First >= b.largest || now.After(b.largestUntil) {
		b.largest, b.largestUntil = ask.First, now.Add(largestTime)
	}
	// A burst below the cost of one request would refuse that for ever.
	capacity := max(b.limit.Burst*share, min(b.largest, slackBurstShare*b.bounds.Slack*share))
	span := horizon(b.limit, b.bounds)
	lapse := b.limit.PerSecond * share * span.Seconds()
	b.refill(share, now)
	b.takeBack(ask.Returned)
	b.level = min(b.level, capacity, capacity+lapse-b.outstandingSum)
	if b.IsStarting(now) {
		return Grant{Starting: true}
	}
	g := Grant{TTL: span - returnTime}
	switch {
	case b.level >= ask.Need:
		g.Credit = ask.Need + min(ask.Ahead, aheadShare*capacity, max(0, b.level-ask.Need-max(aheadShare*capacity, aheadRequests*b.largest)))
	case b.level >= ask.First:
		g.Credit = b.level
	}
	if isLow := b.outstandingSum+g.Credit <= longTTLShare*lapse; isLow && lapse <= capacity {
		g.TTL = maxTTL
	}
	if g.Credit < ask.Need {
		b.denied += ask.Need - g.Credit
		seconds := min(b.denied/(b.limit.PerSecond*share), maxRetryAfter.Seconds())
		g.RetryAfter = max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
	}
	b.handOut(g, now)
	return g
}

// refill adds what has come since the last call, at the lower of the last two shares, so
// that nothing is handed out for a time in which another gateway did so.
func (b *Bucket) refill(share float64, now time.Time) {
	if b.share == 0 {
		b.share = share
	}
	from := b.filledAt
	if b.startsAt.After(from) {
		from = b.startsAt
	}
	added := max(now.Sub(from).Seconds(), 0) * b.limit.PerSecond * min(share, b.share)
	b.level += added
	b.denied = max(0, min(b.denied-added, b.limit.PerSecond*share*maxRetryAfter.Seconds()))
	b.share, b.filledAt = share, now
	n := 0
	for ; n < len(b.outstanding) && !now.Before(b.outstanding[n].expiresAt); n++ {
		b.outstandingSum -= b.outstanding[n].amount
	}
	b.outstanding = b.outstanding[n:]
	if len(b.outstanding) == 0 {
		b.outstandingSum = 0
	}
}

// takeBack adds returned credit, at most what is outstanding.
func (b *Bucket) takeBack(amount float64) {
	amount = max(0, min(amount, b.outstandingSum))
	b.level += amount
	b.outstandingSum -= amount
	for n := range b.outstanding {
		part := min(amount, b.outstanding[n].amount)
		b.outstanding[n].amount -= part
		amount -= part
	}
}

// outstandingStep is the time within which the lapse of several grants is recorded as one,
// so that a bucket keeps few of them.
const outstandingStep = 10 * time.Millisecond

// handOut takes granted credit from the bucket.
func (b *Bucket) handOut(g Grant, now time.Time) {
	if g.Credit <= 0 {
		return
	}
	b.level -= g.Credit
	b.outstandingSum += g.Credit
	expires := now.Add(g.TTL + returnTime).Truncate(outstandingStep).Add(outstandingStep)
	n := len(b.outstanding)
	for ; n > 0 && b.outstanding[n-1].expiresAt.After(expires); n-- {
		continue
	}
	if n > 0 && b.outstanding[n-1].expiresAt.Equal(expires) {
		b.outstanding[n-1].amount += g.Credit
		return
	}
	b.outstanding = append(b.outstanding, lot{})
	copy(b.outstanding[n+1:], b.outstanding[n:])
	b.outstanding[n] = lot{amount: g.Credit, expiresAt: expires}
}
