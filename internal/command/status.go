package command

import (
	"context"
	"net/http"
	"slices"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/gateway"
)

// statusCommand shows the state of one gateway, its peers and its endpoints.
type statusCommand struct {
	admin    adminFlags
	counters bool
	json     bool
}

func (c *statusCommand) subcommand(env *Env) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("status")
	sub.Description = "show a gateway's state, its peers and its endpoints"
	c.admin.addFlags(sub, env)
	sub.Bool(&c.counters, "", "counters", "show the counters that are not 0")
	addJSONFlag(sub, &c.json)
	return sub
}

func (c *statusCommand) validate() []string { return c.admin.problems() }

func (c *statusCommand) run(ctx context.Context, env *Env) error {
	var s gateway.Status
	if err := c.admin.call(ctx, http.MethodGet, "/admin/v1/status", &s); err != nil {
		return err
	}
	if c.json {
		return env.printJSON(s)
	}
	env.printf("gateway %s in %s (%s), incarnation %s\n", s.ID, s.Region, s.DataCentre, s.Incarnation)
	env.printf("%s, revision %d, %d requests in flight\n", s.Lifecycle, s.Revision, s.InFlight)
	printPeers(env, s.Peers)
	printEndpoints(env, s.Endpoints)
	if c.counters {
		printCounters(env, s.Counters)
	}
	return nil
}

func printPeers(env *Env, peers []gateway.PeerStatus) {
	w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	writeRow(w, "\nPEER", "REGION", "STATE", "REVISION", "HEARD")
	for _, p := range peers {
		writeRow(w, p.ID, p.Region, peerState(p), p.Revision, formatAge(p.LastSeenAgeMillis)+" ago")
	}
	w.Flush()
}

func peerState(p gateway.PeerStatus) string {
	switch {
	case p.Leaving:
		return "leaving"
	case p.Ready:
		return "ready"
	}
	return "not ready"
}

func printEndpoints(env *Env, endpoints []gateway.EndpointStatus) {
	w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	writeRow(w, "\nENDPOINT", "GROUP", "STATE", "IN FLIGHT", "RUNNING", "WAITING", "REPORTED", "REASON")
	for _, e := range endpoints {
		writeRow(w, e.ID, e.Group, e.State, e.InFlight, e.Running, e.Waiting, formatAge(e.ReportAgeMillis)+" ago", e.Reason)
	}
	w.Flush()
}

func printCounters(env *Env, counters map[string]int64) {
	names := make([]string, 0, len(counters))
	for name, n := range counters {
		if n != 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	writeRow(w, "\nCOUNTER", "VALUE")
	for _, name := range names {
		writeRow(w, name, counters[name])
	}
	w.Flush()
}
