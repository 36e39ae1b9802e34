package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/relay"
	"github.com/hickorystage/hickorystage/internal/standin/fault"
	"github.com/hickorystage/hickorystage/internal/standin/model"
)

// Server is one engine.
type Server struct {
	Faults      *fault.Switches
	ChunkFaults *ChunkFaults

	cfg       Config
	generator generator
	stats     *stats
	tomb      tomb.Tomb

	mu sync.Mutex
	// previous is the id of the attempt before the last one, for late chunks.
	previous string
	running  map[string]context.CancelFunc
	fencing  uint64
	orders   []Order
}

// New returns a running engine. Close ends it.
func New(cfg Config) *Server {
	s := &Server{
		Faults:      fault.New(),
		ChunkFaults: &ChunkFaults{},
		cfg:         cfg.withDefaults(),
		stats:       newStats(),
		running:     make(map[string]context.CancelFunc),
	}
	if s.cfg.TokenInterval > 0 {
		s.generator = newPaced(s.cfg, s.stats.token)
		return s
	}
	m := newModelled(s.cfg, time.Now(), s.stats.token)
	s.generator = m
	s.tomb.Go(func() error { return m.run(&s.tomb) })
	return s
}

// Close ends the engine's own work.
func (s *Server) Close() error {
	if s.cfg.TokenInterval > 0 {
		return nil
	}
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

// Stats returns what the engine has done so far.
func (s *Server) Stats() Stats { return s.stats.snapshot() }

// Handler serves the engine's protocol, behind the fault switches.
func (s *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(relay.ChatPath), s.chat)
	mux.HandleFunc(pat.Post(relay.CancelPath+":attempt"), s.cancel)
	mux.HandleFunc(pat.Get("/v1/load"), s.load)
	mux.HandleFunc(pat.Get("/v1/cache/events"), s.cacheEvents)
	mux.HandleFunc(pat.Post("/v1/orders"), s.order)
	return s.Faults.Middleware(mux)
}

// AdminHandler serves the fault switches, the chunk faults (PUT and DELETE
// /chunk-faults), the work done (GET /work) and POST /leave.
func (s *Server) AdminHandler() http.Handler {
	mux := goji.NewMux()
	s.Faults.Mount(mux)
	mux.HandleFunc(pat.Put("/chunk-faults"), s.setChunkFault)
	mux.HandleFunc(pat.Delete("/chunk-faults"), s.resetChunkFaults)
	mux.HandleFunc(pat.Get("/work"), s.work)
	mux.HandleFunc(pat.Post("/leave"), s.handleLeave)
	return mux
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	s.stats.countOrder()
	s.drop(pat.Param(r, "attempt"))
	w.WriteHeader(http.StatusNoContent)
}

// drop cancels an attempt's work.
func (s *Server) drop(attempt string) {
	s.generator.cancel(attempt)
	s.stats.cancelled(attempt)
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel, ok := s.running[attempt]; ok {
		cancel()
	}
}

// track makes the attempt's context one that a cancel order ends.
func (s *Server) track(ctx context.Context, attempt string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[attempt] = cancel
	return ctx, func() {
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.running, attempt)
	}
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	answer(w, s.generator.report(time.Now().Add(-s.Faults.PublishDelay())))
}

// CacheEvents is the answer to a poll of cache events. Next is what to ask
// for in the next poll.
type CacheEvents struct {
	Events []model.CacheEvent `json:"events"`
	Next   uint64             `json:"next"`
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "bad after", http.StatusBadRequest)
		return
	}
	out := CacheEvents{Events: []model.CacheEvent{}, Next: after}
	for _, e := range s.generator.cacheEvents(after, time.Now().Add(-s.Faults.PublishDelay())) {
		out.Next = e.Seq
		if !s.Faults.SkipPublished() {
			out.Events = append(out.Events, e)
		}
	}
	answer(w, out)
}

func (s *Server) setChunkFault(w http.ResponseWriter, r *http.Request) {
	var f ChunkFault
	if !decode(w, r, &f) {
		return
	}
	if err := s.ChunkFaults.Add(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) resetChunkFaults(w http.ResponseWriter, _ *http.Request) {
	s.ChunkFaults.Reset()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) work(w http.ResponseWriter, _ *http.Request) { answer(w, s.Stats()) }

func (s *Server) handleLeave(w http.ResponseWriter, _ *http.Request) {
	s.MarkLeaving()
	w.WriteHeader(http.StatusNoContent)
}

// MarkLeaving makes the load reports say that the engine is leaving.
func (s *Server) MarkLeaving() {
	s.stats.leave(time.Now())
	s.generator.setLeaving(true)
}

// maxAdminBytes bounds the body of an order or a setting.
const maxAdminBytes = 64 << 10

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBytes)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
