package action

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/hickorystage/hickorystage/internal/platform"
)

// ClaimPartitionCount is the number of partitions of the claims' store keys. Claims
// are listed one partition at a time.
const ClaimPartitionCount = 256

// ClaimPartitionPrefix returns the prefix of the store keys of partition i of
// the claims. i must not be negative; it is taken modulo the number of
// partitions.
func ClaimPartitionPrefix(i int) string {
	return fmt.Sprintf("%s%02x/", ClaimPrefix, i%ClaimPartitionCount)
}

// InDoubtRetention is how long a claim without an outcome is kept. An owner
// that is paused for longer might still send the attempt afterwards, so the
// time is far longer than any pause.
const InDoubtRetention = 30 * 24 * time.Hour

// inDoubtReportAge is the age from which on a claim without an outcome is
// counted in ReapReport.InDoubt.
const inDoubtReportAge = time.Hour

// ReapReport tells what ReapClaims found in one partition.
type ReapReport struct {
	Listed  int
	Removed int
	// InDoubt is the number of claims without an outcome that are at least an
	// hour old.
	InDoubt int
}

// ReapClaims lists one partition of the claims, with one store call, and
// removes up to limit that are no longer needed, with one call each. Failed
// removals don't count towards limit. The store removes most claims with an
// outcome when their lease expires; ReapClaims removes those without a lease, and
// claims that have had no outcome for InDoubtRetention. prefix is a result of
// ClaimPartitionPrefix.
func (m *Manager) ReapClaims(ctx context.Context, prefix string, limit int) (ReapReport, error) {
	claimStoreCalls.Inc()
	era := m.cfg.Store.Era()
	entries, err := m.cfg.Store.List(ctx, prefix)
	if err != nil {
		return ReapReport{}, err
	}
	report := ReapReport{Listed: len(entries)}
	for _, e := range entries {
		age, hasOutcome := m.claimAge(e)
		if !hasOutcome && age >= inDoubtReportAge {
			report.InDoubt++
		}
		if report.Removed == limit || !m.isClaimExpired(age, hasOutcome) {
			continue
		}
		claimStoreCalls.Inc()
		if m.cfg.Store.Delete(ctx, e.Key, platform.DeleteOptions{IfVersion: &e.Version, Era: era.Number}) == nil {
			report.Removed++
		}
	}
	return report, nil
}

// claimAge returns how long ago a claim was last written, and whether it has an
// outcome. The age is the difference between this gateway's clock and the
// writer's. A claim that can't be decoded counts as one of age 0 without an
// outcome.
func (m *Manager) claimAge(e platform.Entry) (age time.Duration, hasOutcome bool) {
	var v claimValue
	if json.Unmarshal(e.Value, &v) != nil {
		return 0, false
	}
	return m.cfg.Now().Sub(time.Unix(v.WrittenAtUnix, 0)), v.Outcome != ""
}

// isClaimExpired reports whether a claim is no longer needed. One with an outcome is
// kept as long as the longest lease, which is over StoredClaimRetention even if the
// writer's clock is behind by claimLeaseReuseTime.
func (m *Manager) isClaimExpired(age time.Duration, hasOutcome bool) bool {
	if hasOutcome {
		return age >= m.claimLeaseTime()
	}
	return age >= InDoubtRetention
}
