package peer

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"goji.io"
	"goji.io/pat"

	"github.com/hickorystage/hickorystage/internal/bodyread"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/lenient"
	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var authRefused = telemetry.NewCounter("peer_auth_refused", "requests", "requests to the peer listener that failed authentication")

// Handlers are the functions that handle the requests of peers. They are called
// concurrently.
type Handlers struct {
	// Exchange merges a peer's soft state and returns this gateway's.
	Exchange func(Exchange) Exchange
	// Snapshot returns the configuration in force and its revision, or revision 0
	// if there is none.
	Snapshot func() ([]byte, uint64)
	// Endpoints returns the endpoints of the region.
	Endpoints func() []Endpoint
	// Announce records a peer's announcements of large prefills.
	Announce func([]datastore.PrefillAnnouncement)
	// Owner handles requests about actions.
	Owner OwnerHandlers
	// RefuseForward answers a forwarded request for whose body there was no memory, by a
	// refusal that the forwarding gateway understands. err is the error of bodyread.Read.
	RefuseForward func(w http.ResponseWriter, r *http.Request, err error)
	// Forward handles a forwarded request. r has the path of the caller's
	// request, and its body has been read into body.
	Forward func(w http.ResponseWriter, r *http.Request, fwd Forward, sender string, body []byte)
}

// Server serves the peer listener. It authenticates each request before it
// decodes the body.
type Server struct {
	signer   *Signer
	address  string
	memory   *memory.Account
	handlers Handlers
}

// NewServer returns a server that accepts only requests whose signed target is
// address. Forwarded requests and actions are charged to account.
func NewServer(signer *Signer, address string, account *memory.Account, handlers Handlers) *Server {
	return &Server{signer: signer, address: address, memory: account, handlers: handlers}
}

// Handler returns the HTTP handler of the peer listener.
func (s *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(PathExchange), s.serveExchange)
	mux.HandleFunc(pat.Post(PathSnapshot), s.serveSnapshot)
	mux.HandleFunc(pat.Post(PathEndpoints), s.serveEndpoints)
	mux.HandleFunc(pat.Post(PathAnnounce), s.serveAnnouncements)
	mux.HandleFunc(pat.Post(PathHandover), s.serveHandover)
	mux.HandleFunc(pat.Post(PathActionRun), s.serveOwnerRequest(s.handlers.Owner.Run))
	mux.HandleFunc(pat.Post(PathActionOutcome), s.serveOwnerRequest(s.handlers.Owner.Outcome))
	mux.HandleFunc(pat.Post(PathSeal), s.serveSeal)
	mux.HandleFunc(pat.New(PathForward+"/*"), s.serveForward)
	return mux
}

// readVerified reads a body of at most limit bytes and checks the signature and
// the target. If it returns false, it has sent the response itself.
func (s *Server) readVerified(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, sender string, ok bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return nil, "", false
	}
	sender, ok = s.verify(w, r, body)
	return body, sender, ok
}

// readCharged is readVerified for bodies of up to MaxForwardBytes, which are charged to the
// memory account. The caller must close the holder, also if false is returned. refuse
// answers requests for whose body there is no memory.
func (s *Server) readCharged(w http.ResponseWriter, r *http.Request, refuse func(err error)) (hold *memory.Holder, body []byte, sender string, ok bool) {
	hold = s.memory.Open(memory.Forward)
	bodyread.InterruptOnEvict(hold, w)
	length := min(r.ContentLength, MaxForwardBytes)
	body, err := bodyread.Read(hold, http.MaxBytesReader(w, r.Body, MaxForwardBytes), length)
	if bodyread.Refusal(err) != nil {
		if bodyread.IsEvicted(err) {
			w.Header().Set("Connection", "close")
		}
		refuse(err)
		return hold, nil, "", false
	}
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return hold, nil, "", false
	}
	sender, ok = s.verify(w, r, body)
	return hold, body, sender, ok
}

// verify checks the signature and the target of a request. If it returns false, it has sent
// the response itself.
func (s *Server) verify(w http.ResponseWriter, r *http.Request, body []byte) (sender string, ok bool) {
	sender, err := s.signer.Verify(r, body)
	if err != nil || r.Header.Get(HeaderTarget) != s.address {
		authRefused.Inc()
		w.WriteHeader(http.StatusUnauthorized)
		return "", false
	}
	return sender, true
}

func (s *Server) serveExchange(w http.ResponseWriter, r *http.Request) {
	body, sender, ok := s.readVerified(w, r, MaxExchangeBytes)
	if !ok {
		return
	}
	msg := decodeExchange(body)
	if msg.From.ID == "" {
		// The sender's status can't be read. The signature says who it is.
		msg.From = GatewayStatus{ID: sender}
	}
	if msg.From.ID != sender {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	writeJSON(w, s.handlers.Exchange(msg))
}

func (s *Server) serveSnapshot(w http.ResponseWriter, r *http.Request) {
	body, _, ok := s.readVerified(w, r, MaxExchangeBytes)
	if !ok {
		return
	}
	var req SnapshotRequest
	if err := json.Unmarshal(body, &req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	snapshot, heldRevision := s.handlers.Snapshot()
	if heldRevision == 0 || heldRevision < req.MinRevision {
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

func (s *Server) serveEndpoints(w http.ResponseWriter, r *http.Request) {
	if _, _, ok := s.readVerified(w, r, MaxExchangeBytes); !ok {
		return
	}
	writeJSON(w, s.handlers.Endpoints())
}

func (s *Server) serveAnnouncements(w http.ResponseWriter, r *http.Request) {
	body, _, ok := s.readVerified(w, r, MaxExchangeBytes)
	if !ok {
		return
	}
	var list []datastore.PrefillAnnouncement
	if problems := lenient.DecodeList(body, &list); len(problems) > 0 && len(list) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.handlers.Announce(list)
	writeJSON(w, struct{}{})
}

func (s *Server) serveForward(w http.ResponseWriter, r *http.Request) {
	hold, body, sender, ok := s.readCharged(w, r, func(err error) { s.handlers.RefuseForward(w, r, err) })
	defer hold.Close()
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
