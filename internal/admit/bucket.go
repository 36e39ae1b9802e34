package admit

import (
	"math"
	"time"
)

// bucket is a token bucket whose rate may change between calls.
type bucket struct {
	level float64
	at    time.Time
	init  bool
}

// has refills the bucket and says whether n units are there. A request larger
// than the bucket passes when the bucket is full, and leaves a debt.
func (b *bucket) has(n, rate float64, now time.Time) bool {
	size := max(rate*burstTime.Seconds(), 1)
	if !b.init {
		b.level, b.at, b.init = size, now, true
	}
	if dt := now.Sub(b.at).Seconds(); dt > 0 {
		b.level += dt * rate
		b.at = now
	}
	b.level = min(b.level, size)
	return b.level >= min(n, size)
}

func (b *bucket) spend(n float64) { b.level -= n }

// wait is how long until n units are there.
func (b *bucket) wait(n, rate float64) time.Duration {
	if rate <= 0 {
		return time.Minute
	}
	size := max(rate*burstTime.Seconds(), 1)
	s := (min(n, size) - b.level) / rate
	return time.Duration(min(max(s, 0.1), 60) * float64(time.Second))
}

// demand is a smoothed rate of what was asked for.
type demand struct {
	sum float64
	at  time.Time
}

func (d *demand) add(x float64, now time.Time) {
	d.sum = d.decayed(now) + x
	d.at = now
}

func (d *demand) decayed(now time.Time) float64 {
	dt := now.Sub(d.at).Seconds()
	if d.sum == 0 || dt <= 0 {
		return d.sum
	}
	return d.sum * math.Exp(-dt/demandWindow.Seconds())
}

// rate is the demand in units a second.
func (d *demand) rate(now time.Time) float64 {
	return d.decayed(now) / demandWindow.Seconds()
}
