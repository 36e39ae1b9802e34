package allowance

import (
	"math"
	"time"
)

// The time constants of the two averages of a wallet's demand. The higher one counts: the
// fast one follows load that moves here, the slow one bridges gaps between requests.
const (
	fastDemandTime = 250 * time.Millisecond
	slowDemandTime = 2 * time.Second
	// largestTime is how long the cost of the largest request counts.
	largestTime = 4 * time.Second
)

// demand estimates what the requests at one gateway cost per second.
type demand struct {
	fast, slow float64
	asOf       time.Time
	largest    float64
	largestAt  time.Time
	// lastAt is when the last request came.
	lastAt time.Time
}

func (d *demand) add(cost float64, now time.Time) {
	d.decay(now)
	d.fast += cost / fastDemandTime.Seconds()
	d.slow += cost / slowDemandTime.Seconds()
	if cost >= d.largest || now.Sub(d.largestAt) > largestTime {
		d.largest, d.largestAt = cost, now
	}
	d.lastAt = now
}

func (d *demand) decay(now time.Time) {
	seconds := max(now.Sub(d.asOf).Seconds(), 0)
	d.fast *= math.Exp(-seconds / fastDemandTime.Seconds())
	d.slow *= math.Exp(-seconds / slowDemandTime.Seconds())
	d.asOf = now
}

// rate returns the demand per second.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	return max(d.fast, d.slow)
}
