package action

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/hickorystage/hickorystage/internal/platform"
)

// ClaimPartitions is the number of parts that claims are listed in.
const ClaimPartitions = 256

// ClaimPartitionPrefix returns the prefix of the store keys of part i of the claims.
func ClaimPartitionPrefix(i int) string {
	return fmt.Sprintf("%s%02x/", ClaimPrefix, i%ClaimPartitions)
}

// InDoubtMemory is how long a claim without an outcome is kept. Its attempt
// might still be sent by an owner that was paused for that long, so that it is
// far longer than any pause.
const InDoubtMemory = 30 * 24 * time.Hour

// inDoubtAge is the age from which a claim without an outcome is reported.
const inDoubtAge = time.Hour

// ReapReport says what one look at a part of the claims found.
type ReapReport struct {
	Listed  int
	Removed int
	// InDoubt counts the claims without an outcome that are over an hour old.
	InDoubt int
}

// ReapClaims lists one part of the claims, with one store call, and removes up
// to limit that are no longer needed, with one call each. Claims with an
// outcome mostly go by their lease; this takes those that got none.
func (m *Manager) ReapClaims(ctx context.Context, part string, limit int) (ReapReport, error) {
	claimCalls.Inc()
	entries, err := m.cfg.Store.List(ctx, part)
	if err != nil {
		return ReapReport{}, err
	}
	report := ReapReport{Listed: len(entries)}
	for _, e := range entries {
		age, done := m.ageOfClaim(e)
		if !done && age >= inDoubtAge {
			report.InDoubt++
		}
		if report.Removed == limit || !m.outlived(age, done) {
			continue
		}
		claimCalls.Inc()
		if m.cfg.Store.Delete(ctx, e.Key, &e.Version) == nil {
			report.Removed++
		}
	}
	return report, nil
}

// ageOfClaim tells the age of a claim by its writer's clock, and whether it
// has an outcome. A claim that can't be read is in doubt and of no age.
func (m *Manager) ageOfClaim(e platform.Entry) (age time.Duration, done bool) {
	var v claimValue
	if json.Unmarshal(e.Value, &v) != nil {
		return 0, false
	}
	return m.cfg.Now().Sub(time.Unix(v.At, 0)), v.Outcome != ""
}

// outlived reports whether a claim is no longer needed. Claims with a lease go
// before this says so.
func (m *Manager) outlived(age time.Duration, done bool) bool {
	if done {
		return age >= m.limits.ClaimMemory+2*claimLeaseAge
	}
	return age >= InDoubtMemory
}
