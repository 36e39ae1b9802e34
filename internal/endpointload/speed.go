package endpointload

import (
	"math"
	"time"
)

// Endpoints of one service differ in speed: some machines are slower for good, and others are
// slow for a while because of what else runs on them. Endpoints may report how long work takes
// on their machine now; the rest is learned from responses. It answers services whose machines
// differ by more than a fifth; smaller differences are taken for noise, so that endpoints of
// equal speed are placed as if nothing was known of it.

const (
	// reportFilter is the time constant over which reports are averaged: they change many
	// times a second, and most requests take longer than one value lasts.
	reportFilter = 250 * time.Millisecond
	// maxReportAge is the age from which a report isn't used any more. Its effect fades
	// until then.
	maxReportAge = time.Second
	// minFactor and maxFactor bound what an endpoint reports and what is learned of it.
	minFactor = 0.2
	maxFactor = 10.0
	// factorRate is the weight of one response in the learned factor, and
	// minFactorObservations the number of responses from which the factor is used.
	factorRate            = 0.05
	minFactorObservations = 20
	// noiseFactor is the largest learned factor, up or down, that is taken for noise.
	noiseFactor = 1.2
)

// speed is how long work takes at one endpoint, relative to the others of its service.
type speed struct {
	// reported is the filtered factor that the endpoint reported as of reportedAt, which
	// is zero if there is none.
	reported   float64
	reportedAt time.Time
	// learned is the moving average of the factor that responses show beyond the reports.
	learned      float64
	observations int
}

// report takes in a factor that the endpoint reported at the given time. Reports that are
// older than the last one are ignored.
func (s *speed) report(factor float64, at time.Time) {
	if !(factor > 0) {
		return
	}
	factor = min(max(factor, minFactor), maxFactor)
	age := at.Sub(s.reportedAt)
	switch {
	case s.reportedAt.IsZero() || age >= maxReportAge:
		s.reported = factor
	case age < 0:
		return
	default:
		s.reported += (1 - math.Exp(-age.Seconds()/reportFilter.Seconds())) * (factor - s.reported)
	}
	s.reportedAt = at
}

// reportedNow returns the reported factor as far as it still counts.
func (s *speed) reportedNow(now time.Time) float64 {
	age := now.Sub(s.reportedAt)
	if s.reportedAt.IsZero() || age >= maxReportAge {
		return 1
	}
	return 1 + (s.reported-1)*(1-max(age, 0).Seconds()/maxReportAge.Seconds())
}

// learn takes in the factor by which a response took longer than expected, reports
// considered.
func (s *speed) learn(factor float64) {
	if !(factor > 0) {
		return
	}
	if s.observations == 0 {
		s.learned = 1
	}
	s.observations = min(s.observations+1, minFactorObservations)
	s.learned += factorRate * (min(max(factor, minFactor), maxFactor) - s.learned)
}

// at returns the factor by which work takes longer than at the service's other endpoints.
func (s *speed) at(now time.Time) float64 {
	factor := s.reportedNow(now)
	if s.observations < minFactorObservations {
		return factor
	}
	switch {
	case s.learned > noiseFactor:
		factor *= s.learned / noiseFactor
	case s.learned < 1/noiseFactor:
		factor *= s.learned * noiseFactor
	}
	return min(max(factor, minFactor), maxFactor)
}

// scale returns d times a factor. A factor of 1 leaves d as it is.
func scale(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// percent converts a factor to percent.
const percent = 100

// ReportSpeed takes in how long work takes on the endpoint's machine, in percent of the usual
// time, as the endpoint reported at the given time.
func (t *Tracker) ReportSpeed(id string, incarnation int64, timePercent int, at time.Time) {
	if timePercent <= 0 {
		return
	}
	t.withAccount(id, incarnation, func(a *account) { a.speed.report(float64(timePercent)/percent, at) })
}

// ReportedSpeed returns what the endpoint reported last, filtered, and the age of that. ok is
// false if nothing recent is known.
func (t *Tracker) ReportedSpeed(id string, incarnation int64, now time.Time) (timePercent int, age time.Duration, ok bool) {
	t.withAccount(id, incarnation, func(a *account) {
		age = max(now.Sub(a.speed.reportedAt), 0)
		timePercent, ok = int(math.Round(percent*a.speed.reported)), !a.speed.reportedAt.IsZero() && age < maxReportAge
	})
	return timePercent, age, ok
}

// learnSpeed learns from a plain request that found a free slot.
func (req *ActiveRequest) learnSpeed(elapsed time.Duration, now time.Time) {
	t := req.tracker
	expected := t.serviceTimes.plainServiceTime(req.job.Service)
	found := req.foundSlot
	if req.job.Slots > 0 {
		found = req.job.Ahead < req.job.Slots
	}
	req.withAccount(func(a *account) {
		reported := a.speed.reportedNow(now)
		if found && expected > 0 {
			a.speed.learn(elapsed.Seconds() / expected.Seconds() / reported)
		}
		elapsed = scale(elapsed, 1/reported)
	})
	t.serviceTimes.observePlainService(req.job.Service, elapsed)
}
