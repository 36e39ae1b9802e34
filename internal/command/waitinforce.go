package command

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/hickorystage/hickorystage/internal/gateway"
	"github.com/hickorystage/hickorystage/internal/intent"
)

// pollInterval is the time between two requests for the revisions in force.
const pollInterval = 250 * time.Millisecond

// waitInForce waits until every gateway of each region that the revision names
// holds it or a later one, for at most the time of --wait. If that time runs out,
// or the regions can't be read, the error is a *NotInForceError.
func (a *applyRun) waitInForce(ctx context.Context, rev uint64) error {
	start := a.env.Now()
	regions, err := a.revisionRegions(ctx, rev)
	if err != nil {
		a.env.printErrf("can't read the regions of revision %d: %v\n", rev, err)
		return &NotInForceError{Revision: rev, Waited: a.env.Now().Sub(start)}
	}
	ctx, cancel := context.WithTimeout(ctx, a.command.wait)
	defer cancel()
	missing := regions
	var lastErr error
	for {
		var s gateway.ConfigStatus
		if err := a.command.admin.call(ctx, http.MethodGet, configPath, &s); err == nil {
			missing, lastErr = regionsNotInForce(s, regions, rev), nil
		} else if ctx.Err() == nil {
			lastErr = err
		}
		if len(missing) == 0 {
			a.env.printErrf("in force in %s after %s\n", strings.Join(regions, ", "), a.env.Now().Sub(start).Round(time.Millisecond))
			return nil
		}
		select {
		case <-ctx.Done():
			return a.reportNotInForce(rev, missing, lastErr)
		case <-time.After(pollInterval):
		}
	}
}

// reportNotInForce prints the regions that lag behind and the last error of the
// administration API.
func (a *applyRun) reportNotInForce(rev uint64, missing []string, lastErr error) error {
	a.env.printErrf("not seen in force in: %s\n", strings.Join(missing, ", "))
	if lastErr != nil {
		a.env.printErrf("%v\n", lastErr)
	}
	return &NotInForceError{Revision: rev, Waited: a.command.wait}
}

// revisionRegions returns the names of the regions in the configuration of a
// revision, sorted. It returns none if that configuration is invalid.
func (a *applyRun) revisionRegions(ctx context.Context, rev uint64) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, a.command.store.timeout)
	defer cancel()
	head, err := a.pub.RevisionAt(ctx, rev)
	if err != nil {
		return nil, err
	}
	files, err := a.pub.ReadFiles(ctx, head)
	if err != nil {
		return nil, err
	}
	in, _ := intent.Parse(files)
	if in == nil {
		return nil, nil
	}
	var regions []string
	for name := range in.Regions {
		regions = append(regions, name)
	}
	slices.Sort(regions)
	return regions, nil
}

// regionsNotInForce returns the regions that have a gateway below rev or no known
// gateway.
func regionsNotInForce(s gateway.ConfigStatus, regions []string, rev uint64) []string {
	reached := make(map[string]bool, len(s.Regions))
	for _, r := range s.Regions {
		lowest, ok := lowestRevision(r.GatewaysByRevision)
		reached[r.Region] = ok && lowest >= rev
	}
	var missing []string
	for _, name := range regions {
		if !reached[name] {
			missing = append(missing, name)
		}
	}
	return missing
}
