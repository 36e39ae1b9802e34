package gateway

import (
	"crypto/sha256"
	"crypto/subtle"
	"expvar"
	"net/http"
	"sort"
	"strings"
	"time"

	"goji.io"
	"goji.io/pat"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/sched"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var adminUnauthenticated = telemetry.NewCounter("admin_auth_refused", "requests", "requests to the admin listener without a valid token")

// Status is the response of GET /admin/v1/status.
type Status struct {
	ID          string               `json:"id"`
	Incarnation string               `json:"incarnation"`
	Region      string               `json:"region"`
	DataCentre  string               `json:"data_centre"`
	Lifecycle   blackboard.Lifecycle `json:"lifecycle"`
	Revision    uint64               `json:"revision"`
	InFlight    int                  `json:"in_flight"`
	Peers       []PeerStatus         `json:"peers"`
	Endpoints   []EndpointStatus     `json:"endpoints"`
	Counters    map[string]int64     `json:"counters"`
}

// PeerStatus is this gateway's view of one peer.
type PeerStatus struct {
	ID                string `json:"id"`
	Region            string `json:"region"`
	Ready             bool   `json:"ready"`
	Leaving           bool   `json:"leaving"`
	Revision          uint64 `json:"revision"`
	LastSeenAgeMillis int64  `json:"heard_ms"`
}

// EndpointStatus is this gateway's view of one endpoint: its load, whether it
// gets requests, and why.
type EndpointStatus struct {
	ID              string `json:"id"`
	Group           string `json:"group"`
	Region          string `json:"region"`
	Address         string `json:"address"`
	State           string `json:"state"`
	Reason          string `json:"reason"`
	InFlight        int    `json:"in_flight"`
	Running         int    `json:"running"`
	Waiting         int    `json:"waiting"`
	ReportAgeMillis int64  `json:"reported_ms"`
}

// ConfigStatus is the response of GET /admin/v1/config.
type ConfigStatus struct {
	Revision uint64         `json:"revision"`
	Digest   string         `json:"digest"`
	Regions  []RegionStatus `json:"regions"`
}

// RegionStatus is the number of gateways of one region that hold each revision.
type RegionStatus struct {
	Region             string         `json:"region"`
	SummaryAgeMillis   int64          `json:"heard_ms"`
	GatewaysByRevision map[uint64]int `json:"holding"`
}

// Values of EndpointStatus.State.
const (
	stateUsed       = "used"
	stateNotUsed    = "not_used"
	stateRecovering = "returning"
)

// AdminHandler returns the HTTP handler of the operators' listener.
func (g *Gateway) AdminHandler() http.Handler {
	mux := goji.NewMux()
	mux.Use(g.requireToken)
	mux.HandleFunc(pat.Get("/admin/v1/status"), func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, g.status(time.Now()))
	})
	mux.HandleFunc(pat.Get("/admin/v1/endpoints"), func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, g.endpointStatus(time.Now()))
	})
	mux.HandleFunc(pat.Get("/admin/v1/config"), func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, g.configStatus(time.Now()))
	})
	mux.HandleFunc(pat.Post("/admin/v1/drain"), func(w http.ResponseWriter, _ *http.Request) {
		g.Drain()
		writeJSON(w, http.StatusAccepted, struct {
			Lifecycle blackboard.Lifecycle `json:"lifecycle"`
		}{blackboard.Draining})
	})
	mux.Handle(pat.Get("/debug/vars"), expvar.Handler())
	mux.HandleFunc(pat.New("/*"), g.notFound)
	return mux
}

// requireToken rejects requests without the operators' token. It compares
// hashes in constant time, so that the response time reveals neither the
// content nor the length of the token.
func (g *Gateway) requireToken(next http.Handler) http.Handler {
	wantHash := sha256.Sum256([]byte(g.AdminToken))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		gotHash := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(gotHash[:], wantHash[:]) != 1 {
			adminUnauthenticated.Inc()
			g.writeRefusal(w, requestID(r), failure.Refuse(failure.CodeUnauthenticated, "the operators' token is missing or wrong"), nil)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (g *Gateway) status(now time.Time) Status {
	self := g.Board.Self
	_, inFlight := g.inFlight.Idle()
	s := Status{
		ID:          self.ID,
		Incarnation: self.Incarnation,
		Region:      self.Region,
		DataCentre:  self.DataCentre,
		Lifecycle:   g.Board.Lifecycle.Get(),
		Revision:    g.Board.Intent.Get().Revision,
		InFlight:    inFlight,
		Peers:       g.peerStatus(now),
		Endpoints:   g.endpointStatus(now),
		Counters:    make(map[string]int64),
	}
	for _, c := range telemetry.Counters() {
		s.Counters[c.Name] = c.Value()
	}
	return s
}

func (g *Gateway) peerStatus(now time.Time) []PeerStatus {
	out := []PeerStatus{}
	g.Board.Peers.Range(func(_ string, p blackboard.PeerState) bool {
		out = append(out, PeerStatus{
			ID:                p.ID,
			Region:            p.Region,
			Ready:             p.Ready,
			Leaving:           p.Leaving,
			Revision:          p.Revision,
			LastSeenAgeMillis: now.Sub(p.LastSeen).Milliseconds(),
		})
		return true
	})
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (g *Gateway) endpointStatus(now time.Time) []EndpointStatus {
	scheduled := g.schedulerEndpoints(now)
	out := []EndpointStatus{}
	g.Board.Endpoints.Range(func(id string, e blackboard.EndpointState) bool {
		s := EndpointStatus{
			ID:      id,
			Group:   e.Group,
			Region:  e.Region,
			Address: e.Address,
			Running: e.Report.Running,
			Waiting: e.Report.Waiting,
		}
		if e.HasReport {
			s.ReportAgeMillis = now.Sub(e.Report.TakenAt).Milliseconds()
		}
		view, known := scheduled[id]
		s.InFlight = view.InFlight
		s.State, s.Reason = endpointUse(e, view, known)
		out = append(out, s)
		return true
	})
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// schedulerEndpoints returns the scheduler's view of each endpoint, by endpoint
// id.
func (g *Gateway) schedulerEndpoints(now time.Time) map[string]sched.Endpoint {
	out := make(map[string]sched.Endpoint)
	for _, group := range g.SchedulerData.View(now).Groups {
		for _, slot := range group.Endpoints {
			e := *slot.Load()
			out[e.ID] = e
		}
	}
	return out
}

// endpointUse returns whether an endpoint gets requests, as a value of
// EndpointStatus.State, and the reason. known says whether the scheduler knows
// the endpoint, which view describes.
func endpointUse(e blackboard.EndpointState, view sched.Endpoint, known bool) (state, reason string) {
	switch {
	case e.Leaving:
		return stateNotUsed, "leaving: it finishes what it has and gets no new work"
	case !known:
		return stateNotUsed, "its group is not in the configuration, or it has just appeared"
	case view.Health == sched.Ejected:
		return stateNotUsed, "ejected: this gateway's calls to it failed"
	case view.Health == sched.Recovering:
		return stateRecovering, "returning: it takes a part of its share"
	case !e.HasReport:
		return stateUsed, "no load report yet"
	}
	return stateUsed, "healthy"
}

func (g *Gateway) configStatus(now time.Time) ConfigStatus {
	state := g.Board.Intent.Get()
	local := g.Membership.LocalRegionSummary(0, now)
	out := ConfigStatus{
		Revision: state.Revision,
		Digest:   state.Digest,
		Regions:  []RegionStatus{{Region: local.Region, GatewaysByRevision: local.GatewaysByRevision}},
	}
	g.Board.Regions.Range(func(_ string, s blackboard.RegionSummary) bool {
		out.Regions = append(out.Regions, RegionStatus{
			Region:             s.Region,
			SummaryAgeMillis:   now.Sub(s.AsOf).Milliseconds(),
			GatewaysByRevision: s.GatewaysByRevision,
		})
		return true
	})
	sort.Slice(out.Regions, func(i, j int) bool { return out.Regions[i].Region < out.Regions[j].Region })
	return out
}
