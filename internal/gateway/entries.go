package gateway

import (
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/failure"
)

const (
	entriesPath = "/v1/entries"
	// entriesTTL is how long a caller may use the response.
	entriesTTL = 10 * time.Second
	// defaultTickets is the number of action tickets in a response if the
	// caller names none.
	defaultTickets = 8
	maxTickets     = 256
	// maxRegionSummaryAge is the age above which a region's summary is not
	// used.
	maxRegionSummaryAge = 15 * time.Second
)

// EntryGateway is one gateway that a caller may send requests to.
type EntryGateway struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	Address  string `json:"address"`
}

// EntriesResponse is the response of GET /v1/entries: gateways in the order in
// which the caller should try them.
type EntriesResponse struct {
	Entries     []EntryGateway      `json:"entries"`
	ValidMillis int64               `json:"valid_ms"`
	Tickets     *action.TicketRange `json:"tickets,omitempty"`
}

func (g *Gateway) entries(w http.ResponseWriter, r *http.Request, c *call) error {
	ticketCount := defaultTickets
	if value := r.URL.Query().Get("tickets"); value != "" {
		var err error
		ticketCount, err = strconv.Atoi(value)
		if err != nil || ticketCount < 0 || ticketCount > maxTickets {
			return failure.Refuse(failure.CodeBadRequest, "tickets must be a number from 0 to %d", maxTickets)
		}
	}
	out := EntriesResponse{Entries: g.entryGatewaysFor(c), ValidMillis: entriesTTL.Milliseconds()}
	if ticketCount > 0 && c.permitted[g.Board.Self.Region] {
		tickets, err := g.Actions.IssueTickets(c.customerName, ticketCount)
		if err != nil {
			return err
		}
		out.Tickets = &tickets
	}
	writeJSON(w, http.StatusOK, out)
	return nil
}

// entryGatewaysFor returns the gateways for a caller in the order of
// preference: those of the customer's home region first, then those of the
// other permitted regions. Within a region each customer has its own fixed
// ranking, so that its requests reach few gateways. If c is nil, it returns the
// gateways of this region.
func (g *Gateway) entryGatewaysFor(c *call) []EntryGateway {
	now := time.Now()
	self := g.Board.Self
	if c == nil {
		return rankEntryGateways("", g.entryGatewaysInRegion(self.Region, now))
	}
	regions := make([]string, 0, len(c.permitted))
	for region := range c.permitted {
		regions = append(regions, region)
	}
	var out []EntryGateway
	for _, region := range sortHomeFirst(regions, c.customer.HomeRegion) {
		out = append(out, rankEntryGateways(c.customerName, g.entryGatewaysInRegion(region, now))...)
	}
	return out
}

// sortHomeFirst sorts regions in place by name, with the home region first, and
// returns them.
func sortHomeFirst(regions []string, home string) []string {
	sort.Slice(regions, func(i, j int) bool {
		if (regions[i] == home) != (regions[j] == home) {
			return regions[i] == home
		}
		return regions[i] < regions[j]
	})
	return regions
}

// entryGatewaysInRegion returns the gateways of a region that are ready and not
// leaving. It returns none for a region whose summary is missing or too old.
func (g *Gateway) entryGatewaysInRegion(region string, now time.Time) []EntryGateway {
	self := g.Board.Self
	var out []EntryGateway
	if region != self.Region {
		s, ok := g.Board.Regions.Get(region)
		if !ok || now.Sub(s.AsOf) > maxRegionSummaryAge {
			return nil
		}
		for _, gw := range s.Gateways {
			out = append(out, EntryGateway{Instance: gw.ID, Region: region, Address: gw.Caller})
		}
		return out
	}
	if g.Board.Lifecycle.Get() == blackboard.Serving {
		out = append(out, EntryGateway{Instance: self.ID, Region: region, Address: self.CallerAddress})
	}
	for _, p := range g.Membership.LivePeers(region, now) {
		if p.Ready {
			out = append(out, EntryGateway{Instance: p.ID, Region: region, Address: p.CallerAddress})
		}
	}
	return out
}

func rankEntryGateways(customer string, entries []EntryGateway) []EntryGateway {
	ids := make([]string, 0, len(entries))
	byID := make(map[string]EntryGateway, len(entries))
	for _, e := range entries {
		ids = append(ids, e.Instance)
		byID[e.Instance] = e
	}
	out := make([]EntryGateway, 0, len(entries))
	for _, id := range admit.RankGateways(customer, ids) {
		out = append(out, byID[id])
	}
	return out
}
