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

// followInterval is the time between two looks at what is in force.
const followInterval = 250 * time.Millisecond

// follow waits until every region of the revision holds it or a later one.
func (a *application) follow(ctx context.Context, rev uint64) error {
	regions, err := a.regionsOf(ctx, rev)
	if err != nil {
		return err
	}
	start := a.env.Now()
	ctx, cancel := context.WithTimeout(ctx, a.command.wait)
	defer cancel()
	missing := regions
	var lastErr error
	for {
		var s gateway.ConfigStatus
		if err := a.command.admin.call(ctx, http.MethodGet, configPath, &s); err == nil {
			missing, lastErr = notHolding(s, regions, rev), nil
		} else if ctx.Err() == nil {
			lastErr = err
		}
		if len(missing) == 0 {
			a.env.notef("in force in %s after %s\n", strings.Join(regions, ", "), a.env.Now().Sub(start).Round(time.Millisecond))
			return nil
		}
		select {
		case <-ctx.Done():
			return a.notInForce(rev, missing, lastErr)
		case <-time.After(followInterval):
		}
	}
}

func (a *application) notInForce(rev uint64, missing []string, lastErr error) error {
	a.env.notef("not seen in force in: %s\n", strings.Join(missing, ", "))
	if lastErr != nil {
		a.env.notef("%v\n", lastErr)
	}
	return &NotInForceError{Revision: rev, Waited: a.command.wait}
}

// regionsOf returns the regions that a revision names.
func (a *application) regionsOf(ctx context.Context, rev uint64) ([]string, error) {
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

// notHolding returns the regions with a gateway below rev, or with none known.
func notHolding(s gateway.ConfigStatus, regions []string, rev uint64) []string {
	reached := make(map[string]bool, len(s.Regions))
	for _, r := range s.Regions {
		lowest, ok := inForce(r.GatewaysByRevision)
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
