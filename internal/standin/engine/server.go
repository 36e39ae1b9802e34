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

// Server is one engine. It is safe for concurrent use.
type Server struct {
	Faults      *fault.Switches
	ChunkFaults *ChunkFaults
	Signals     fault.Signals

	cfg       Config
	generator generator
	stats     *statsRecorder
	tomb      tomb.Tomb

	mu sync.Mutex
	// lastSender is the id of the attempt that last sent a chunk without a fault,
	// for ChunkStale.
	lastSender string
	// running holds the cancel functions of the attempts in flight, by id.
	running             map[string]context.CancelFunc
	highestFencingToken uint64
	orders              []Order
}

// New returns a running engine. The caller must call Close.
func New(cfg Config) *Server {
	s := &Server{
		Faults:      fault.New(),
		ChunkFaults: &ChunkFaults{},
		cfg:         cfg.withDefaults(),
		stats:       newStatsRecorder(),
		running:     make(map[string]context.CancelFunc),
	}
	if s.cfg.TokenInterval > 0 {
		s.generator = newPacedGenerator(s.cfg, s.stats.recordToken)
		return s
	}
	m := newModelledGenerator(s.cfg, time.Now(), s.stats.recordToken)
	s.generator = m
	s.tomb.Go(func() error { return m.run(&s.tomb) })
	return s
}

// Close stops the engine's background work.
func (s *Server) Close() error {
	if s.cfg.TokenInterval > 0 {
		return nil
	}
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

// Stats returns the engine's statistics since its start.
func (s *Server) Stats() Stats { return s.stats.snapshot() }

// Handler serves the engine's protocol; the fault switches apply to it.
func (s *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(relay.ChatPath), s.Signals.Middleware(relay.HeaderAttemptID, s.handleChat))
	mux.HandleFunc(pat.Post(relay.CancelPath+":attempt"), s.handleCancel)
	mux.HandleFunc(pat.Get("/v1/load"), s.handleLoad)
	mux.HandleFunc(pat.Get("/v1/cache/events"), s.handleCacheEvents)
	mux.HandleFunc(pat.Post("/v1/orders"), s.handleOrder)
	return s.Faults.Middleware(mux)
}

// AdminHandler serves the admin routes of the fault switches, the chunk faults
// (PUT and DELETE /chunk-faults), the statistics (GET /work) and POST /leave, which
// marks the engine as leaving.
func (s *Server) AdminHandler() http.Handler {
	mux := goji.NewMux()
	s.Faults.Mount(mux)
	mux.HandleFunc(pat.Put("/chunk-faults"), s.handleAddChunkFault)
	mux.HandleFunc(pat.Delete("/chunk-faults"), s.handleResetChunkFaults)
	mux.HandleFunc(pat.Get("/work"), s.handleStats)
	mux.HandleFunc(pat.Post("/leave"), s.handleLeave)
	return mux
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	s.stats.recordCancelOrder()
	s.cancelAttempt(pat.Param(r, "attempt"))
	w.WriteHeader(http.StatusNoContent)
}

// cancelAttempt cancels the work on an attempt, if it is in flight.
func (s *Server) cancelAttempt(attempt string) {
	s.generator.cancel(attempt)
	s.stats.recordCancelled(attempt)
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel, ok := s.running[attempt]; ok {
		cancel()
	}
}

// trackAttempt returns a context that cancelAttempt cancels. The caller must call
// the function when the attempt has ended.
func (s *Server) trackAttempt(ctx context.Context, attempt string) (context.Context, func()) {
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

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.generator.report(time.Now().Add(-s.Faults.PublishDelay())))
}

// CacheEvents is the response to a poll of cache events. Next is the value of the
// parameter after for the next poll.
type CacheEvents struct {
	Events []model.CacheEvent `json:"events"`
	Next   uint64             `json:"next"`
}

func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
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
	writeJSON(w, out)
}

func (s *Server) handleAddChunkFault(w http.ResponseWriter, r *http.Request) {
	var f ChunkFault
	if !decodeJSON(w, r, &f) {
		return
	}
	if err := s.ChunkFaults.Add(f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleResetChunkFaults(w http.ResponseWriter, _ *http.Request) {
	s.ChunkFaults.Reset()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Stats()) }

func (s *Server) handleLeave(w http.ResponseWriter, _ *http.Request) {
	s.MarkLeaving()
	w.WriteHeader(http.StatusNoContent)
}

// MarkLeaving marks the engine as leaving in its load reports. It still serves
// requests.
func (s *Server) MarkLeaving() {
	s.stats.recordLeaving(time.Now())
	s.generator.setLeaving(true)
}

// maxAdminBytes bounds the body of an order or an admin request.
const maxAdminBytes = 64 << 10

func decodeJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBytes)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
