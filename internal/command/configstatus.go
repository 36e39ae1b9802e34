package command

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/gateway"
)

const configPath = "/admin/v1/config"

// configStatusCommand shows the revision in force in each region.
type configStatusCommand struct {
	admin adminFlags
	json  bool
}

func (c *configStatusCommand) subcommand(env *Env) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("status")
	sub.Description = "show the revision in force in each region"
	c.admin.addFlags(sub, env)
	addJSONFlag(sub, &c.json)
	return sub
}

func (c *configStatusCommand) validate() []string { return c.admin.problems() }

func (c *configStatusCommand) run(ctx context.Context, env *Env) error {
	var s gateway.ConfigStatus
	if err := c.admin.call(ctx, http.MethodGet, configPath, &s); err != nil {
		return err
	}
	if c.json {
		return env.printJSON(s)
	}
	printConfigStatus(env, s)
	return nil
}

func printConfigStatus(env *Env, s gateway.ConfigStatus) {
	env.printf("revision %d (%s)\n", s.Revision, s.Digest)
	w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	writeRow(w, "REGION", "IN FORCE", "GATEWAYS", "HEARD")
	for _, r := range s.Regions {
		writeRow(w, r.Region, inForceText(r.GatewaysByRevision), gatewayCountsText(r.GatewaysByRevision), formatAge(r.SummaryAgeMillis)+" ago")
	}
	w.Flush()
}

// lowestRevision returns the lowest revision that a gateway of a region holds,
// which every gateway of the region has reached. ok is false if no gateway is
// known.
func lowestRevision(gatewaysByRevision map[uint64]int) (rev uint64, ok bool) {
	for r, n := range gatewaysByRevision {
		if n > 0 && (!ok || r < rev) {
			rev, ok = r, true
		}
	}
	return rev, ok
}

func inForceText(gatewaysByRevision map[uint64]int) string {
	rev, ok := lowestRevision(gatewaysByRevision)
	if !ok {
		return "unknown"
	}
	return fmt.Sprint(rev)
}

// gatewayCountsText lists the number of gateways that hold each revision, newest
// revision first.
func gatewayCountsText(gatewaysByRevision map[uint64]int) string {
	revs := make([]uint64, 0, len(gatewaysByRevision))
	for r := range gatewaysByRevision {
		revs = append(revs, r)
	}
	slices.Sort(revs)
	slices.Reverse(revs)
	parts := make([]string, len(revs))
	for i, r := range revs {
		parts[i] = fmt.Sprintf("%d hold %d", gatewaysByRevision[r], r)
	}
	return strings.Join(parts, ", ")
}
