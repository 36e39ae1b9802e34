package peer

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"goji.io"
	"goji.io/pat"

	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var authRefused = telemetry.NewCounter("peer_auth_refused", "requests", "requests on the peer listener that were not authenticated")

// Handlers is what a gateway does with its peers' requests.
type Handlers struct {
	// Exchange takes in a peer's soft state and returns this gateway's.
	Exchange func(Exchange) Exchange
	// Snapshot returns the configuration in force and its revision.
	Snapshot func() ([]byte, uint64)
	// Endpoints returns the endpoints of the region.
	Endpoints func() []Endpoint
	// Announce takes in a peer's large prefills.
	Announce func([]datastore.PrefillAnnouncement)
	// Owner serves requests about actions.
	Owner OwnerHandlers
	// Forward serves a forwarded request; its path is that of the caller's.
	Forward func(w http.ResponseWriter, r *http.Request, fwd Forward, sender string, body []byte)
}

// Server serves the peer listener. Each request is checked before its body is
// looked at.
type Server struct {
	signer   *Signer
	address  string
	handlers Handlers
}

// NewServer returns a server that takes requests addressed to address.
func NewServer(signer *Signer, address string, handlers Handlers) *Server {
	return &Server{signer: signer, address: address, handlers: handlers}
}

// Handler returns the HTTP handler of the peer listener.
func (s *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(PathExchange), s.exchange)
	mux.HandleFunc(pat.Post(PathSnapshot), s.snapshot)
	mux.HandleFunc(pat.Post(PathEndpoints), s.endpoints)
	mux.HandleFunc(pat.Post(PathAnnounce), s.announce)
	mux.HandleFunc(pat.Post(PathHandover), s.handover)
	mux.HandleFunc(pat.Post(PathActionRun), s.askOwner(s.handlers.Owner.Run))
	mux.HandleFunc(pat.Post(PathActionOutcome), s.askOwner(s.handlers.Owner.Outcome))
	mux.HandleFunc(pat.Post(PathSeal), s.seal)
	mux.HandleFunc(pat.New(PathForward+"/*"), s.forward)
	return mux
}

// verified reads at most limit bytes of the body and checks the signature. It
// answers the request itself when it returns false.
func (s *Server) verified(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, sender string, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return nil, "", false
	}
	sender, err = s.signer.Verify(r, body)
	if err != nil || r.Header.Get(HeaderTarget) != s.address {
		authRefused.Inc()
		w.WriteHeader(http.StatusUnauthorized)
		return nil, "", false
	}
	return body, sender, true
}

func (s *Server) exchange(w http.ResponseWriter, r *http.Request) {
	body, sender, ok := s.verified(w, r, MaxExchangeBytes)
	if !ok {
		return
	}
	var msg Exchange
	if err := json.Unmarshal(body, &msg); err != nil || msg.From.ID != sender {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	writeJSON(w, s.handlers.Exchange(msg))
}

func (s *Server) snapshot(w http.ResponseWriter, r *http.Request) {
	body, _, ok := s.verified(w, r, MaxExchangeBytes)
	if !ok {
		return
	}
	var req SnapshotRequest
	if err := json.Unmarshal(body, &req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	snapshot, held := s.handlers.Snapshot()
	if held == 0 || held < req.MinRevision {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reduced, err := revision.MakeDelta(snapshot, req.Have)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(reduced)
}

func (s *Server) endpoints(w http.ResponseWriter, r *http.Request) {
	if _, _, ok := s.verified(w, r, MaxExchangeBytes); !ok {
		return
	}
	writeJSON(w, s.handlers.Endpoints())
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	body, _, ok := s.verified(w, r, MaxExchangeBytes)
	if !ok {
		return
	}
	var list []datastore.PrefillAnnouncement
	if err := json.Unmarshal(body, &list); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.handlers.Announce(list)
	writeJSON(w, struct{}{})
}

func (s *Server) forward(w http.ResponseWriter, r *http.Request) {
	body, sender, ok := s.verified(w, r, MaxForwardBytes)
	if !ok {
		return
	}
	var fwd Forward
	if err := json.Unmarshal([]byte(r.Header.Get(HeaderForward)), &fwd); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.URL.Path = strings.TrimPrefix(r.URL.Path, PathForward)
	r.URL.RawPath = ""
	s.handlers.Forward(w, r, fwd, sender, body)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
