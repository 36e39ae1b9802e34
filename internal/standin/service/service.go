// Package service is the stand-in of a plain service: it takes any call by
// method and path, counts what it really executes, and can check fencing
// numbers.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"goji.io"
	"goji.io/pat"

	"github.com/hickorystage/hickorystage/internal/action/dispatch"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/standin/fault"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 1 << 20

// Config describes one service.
type Config struct {
	// ID is echoed in answers.
	ID string
	// CallDuration is how long a call takes after its effect.
	CallDuration time.Duration
	// ChecksFencing makes the service refuse an order whose fencing number for
	// its action is not above the highest that it has seen.
	ChecksFencing bool
	// MaxConcurrent is told in load reports.
	MaxConcurrent int
}

// Server executes calls and counts them.
type Server struct {
	Faults  *fault.Switches
	cfg     Config
	ledger  ledger
	running atomic.Int64
	leaving atomic.Bool
}

// New returns a service that has executed nothing.
func New(cfg Config) *Server {
	return &Server{Faults: fault.New(), cfg: cfg, ledger: newLedger()}
}

// Handler serves GET /v1/load and every other call, behind the fault switches.
func (s *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/load"), s.load)
	mux.HandleFunc(pat.New("/*"), s.call)
	return s.Faults.Middleware(mux)
}

// AdminHandler serves the fault switches, GET /executions (Counts) and DELETE
// /executions.
func (s *Server) AdminHandler() http.Handler {
	mux := goji.NewMux()
	s.Faults.Mount(mux)
	mux.HandleFunc(pat.Get("/executions"), func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Executions())
	})
	mux.HandleFunc(pat.Delete("/executions"), func(w http.ResponseWriter, _ *http.Request) {
		s.ledger.reset()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// Executions returns what was executed.
func (s *Server) Executions() ExecutionCounts { return s.ledger.counts() }

// SetLeaving makes load reports say that the service is leaving.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, blackboard.LoadReport{
		Running:  int(s.running.Load()),
		MaxBatch: s.cfg.MaxConcurrent,
		Leaving:  s.leaving.Load(),
	})
}

// Result is the answer to a call.
type Result struct {
	Instance string `json:"instance"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Key      string `json:"key,omitempty"`
	// Execution counts the executions for Key, this one included.
	Execution int `json:"execution"`
}

// businessKey is the field of a call's body by which executions are counted.
type businessKey struct {
	Key string `json:"key"`
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(dispatch.HeaderAttemptID, r.Header.Get(dispatch.HeaderAttemptID))
	if !s.fencingAllows(r) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	var key businessKey
	// A body of another form has no business key.
	_ = json.Unmarshal(body, &key)
	n := s.ledger.execute(r, key.Key)
	s.work(r)
	writeJSON(w, http.StatusOK, Result{
		Instance:  s.cfg.ID,
		Method:    r.Method,
		Path:      r.URL.Path,
		Key:       key.Key,
		Execution: n,
	})
}

// fencingAllows checks the order's number if the service checks any.
func (s *Server) fencingAllows(r *http.Request) bool {
	number := r.Header.Get(dispatch.HeaderFencingToken)
	if !s.cfg.ChecksFencing || number == "" {
		return true
	}
	n, err := strconv.ParseUint(number, 10, 64)
	return err == nil && s.ledger.fence(r.Header.Get(dispatch.HeaderActionID), n)
}

// work takes the time of a call.
func (s *Server) work(r *http.Request) {
	if s.cfg.CallDuration == 0 {
		return
	}
	t := time.NewTimer(s.cfg.CallDuration)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
