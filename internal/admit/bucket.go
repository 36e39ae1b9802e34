package admit

import (
	"math"
	"time"
)

// tokenBucket is a token bucket whose rate may change between calls. Its zero value
// is filled at the first call of refillAndCheck.
type tokenBucket struct {
	level       float64
	refilledAt  time.Time
	initialized bool
}

// refillAndCheck refills the bucket and reports whether n units are available, at
// rate units per second. A request larger than the capacity passes when the bucket
// is full; spend then makes the level negative.
func (b *tokenBucket) refillAndCheck(n, rate float64, now time.Time) bool {
	capacity := max(rate*burstWindow.Seconds(), 1)
	if !b.initialized {
		b.level, b.refilledAt, b.initialized = capacity, now, true
	}
	if dt := now.Sub(b.refilledAt).Seconds(); dt > 0 {
		b.level += dt * rate
		b.refilledAt = now
	}
	b.level = min(b.level, capacity)
	return b.level >= min(n, capacity)
}

func (b *tokenBucket) spend(n float64) { b.level -= n }

// timeUntil returns how long it takes until n units are available, between 0.1 s
// and one minute. It doesn't refill the bucket.
func (b *tokenBucket) timeUntil(n, rate float64) time.Duration {
	if rate <= 0 {
		return time.Minute
	}
	capacity := max(rate*burstWindow.Seconds(), 1)
	s := (min(n, capacity) - b.level) / rate
	return time.Duration(min(max(s, 0.1), 60) * float64(time.Second))
}

// demand is a smoothed rate of requested units, whether admitted or refused.
type demand struct {
	sum       float64
	updatedAt time.Time
}

func (d *demand) add(x float64, now time.Time) {
	d.sum = d.decayed(now) + x
	d.updatedAt = now
}

func (d *demand) decayed(now time.Time) float64 {
	dt := now.Sub(d.updatedAt).Seconds()
	if d.sum == 0 || dt <= 0 {
		return d.sum
	}
	return d.sum * math.Exp(-dt/demandWindow.Seconds())
}

// rate returns the demand in units per second.
func (d *demand) rate(now time.Time) float64 {
	return d.decayed(now) / demandWindow.Seconds()
}
