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
	// entriesValid is how long a caller may use the answer.
	entriesValid = 10 * time.Second
	// defaultTickets is the number of action tickets in an answer.
	defaultTickets = 8
	maxTickets     = 256
	// regionStale is the age from which a region's summary is not used.
	regionStale = 15 * time.Second
)

// EntryGateway is one gateway that a caller may use.
type EntryGateway struct {
	Instance string `json:"instance"`
	Region   string `json:"region"`
	Address  string `json:"address"`
}

// EntriesResponse is the answer of GET /v1/entries: gateways in the order in which the
// caller should try them.
type EntriesResponse struct {
	Entries     []EntryGateway      `json:"entries"`
	ValidMillis int64               `json:"valid_ms"`
	Tickets     *action.TicketRange `json:"tickets,omitempty"`
}

func (g *Gateway) entries(w http.ResponseWriter, r *http.Request, c *call) error {
	n := defaultTickets
	if text := r.URL.Query().Get("tickets"); text != "" {
		var err error
		n, err = strconv.Atoi(text)
		if err != nil || n < 0 || n > maxTickets {
			return failure.Refuse(failure.CodeBadRequest, "tickets must be a number from 0 to %d", maxTickets)
		}
	}
	out := EntriesResponse{Entries: g.entriesFor(c), ValidMillis: entriesValid.Milliseconds()}
	if n > 0 && c.permitted[g.Board.Self.Region] {
		tickets, err := g.Actions.IssueTickets(c.customerName, n)
		if err != nil {
			return err
		}
		out.Tickets = &tickets
	}
	writeJSON(w, http.StatusOK, out)
	return nil
}

// entriesFor returns the gateways for a caller: those of the home region
// first, then those of the other permitted regions. Within a region the order
// is the customer's own, so that its requests meet at few gateways. Without a
// call it names the gateways of this region.
func (g *Gateway) entriesFor(c *call) []EntryGateway {
	now := time.Now()
	self := g.Board.Self
	if c == nil {
		return ranked("", g.regionEntries(self.Region, now))
	}
	regions := make([]string, 0, len(c.permitted))
	for region := range c.permitted {
		regions = append(regions, region)
	}
	var out []EntryGateway
	for _, region := range homeFirst(regions, c.customer.HomeRegion) {
		out = append(out, ranked(c.customerName, g.regionEntries(region, now))...)
	}
	return out
}

// homeFirst orders regions by name, the home region before all.
func homeFirst(regions []string, home string) []string {
	sort.Slice(regions, func(i, j int) bool {
		if (regions[i] == home) != (regions[j] == home) {
			return regions[i] == home
		}
		return regions[i] < regions[j]
	})
	return regions
}

// regionEntries returns the gateways of a region that are ready and stay.
func (g *Gateway) regionEntries(region string, now time.Time) []EntryGateway {
	self := g.Board.Self
	var out []EntryGateway
	if region != self.Region {
		s, ok := g.Board.Regions.Get(region)
		if !ok || now.Sub(s.AsOf) > regionStale {
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

func ranked(customer string, entries []EntryGateway) []EntryGateway {
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
