// Package service is a stand-in for an ordinary service. It accepts calls of any
// method and path, counts those that it executes, and can check fencing tokens.
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

	"github.com/hickorystage/hickorystage/internal/action/sender"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/standin/fault"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 1 << 20

// Config configures a Server.
type Config struct {
	// ID is the instance id in responses.
	ID string
	// CallDuration is the time between a call's effect and its response.
	CallDuration time.Duration
	// ChecksFencing makes the service refuse a call whose fencing token isn't
	// above the highest that it has seen for the same action.
	ChecksFencing bool
	// MaxConcurrent is the limit on concurrent calls given in load reports. It
	// isn't enforced.
	MaxConcurrent int
}

// Server executes calls and counts them. It is safe for concurrent use.
type Server struct {
	Faults     *fault.Switches
	Signals    fault.Signals
	cfg        Config
	executions executionCounter
	running    atomic.Int64
	leaving    atomic.Bool
}

// New returns a service with all counts at zero.
func New(cfg Config) *Server {
	return &Server{Faults: fault.New(), cfg: cfg, executions: newExecutionCounter()}
}

// Handler serves GET /v1/load and accepts every other call; the fault switches
// apply to both.
func (s *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/load"), s.handleLoad)
	mux.HandleFunc(pat.New("/*"), s.Signals.Middleware(sender.HeaderAttemptID, s.handleCall))
	return s.Faults.Middleware(mux)
}

// AdminHandler serves the admin routes of the fault switches, GET /executions
// (ExecutionCounts) and DELETE /executions, which clears the counts.
func (s *Server) AdminHandler() http.Handler {
	mux := goji.NewMux()
	s.Faults.Mount(mux)
	mux.HandleFunc(pat.Get("/executions"), func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Executions())
	})
	mux.HandleFunc(pat.Delete("/executions"), func(w http.ResponseWriter, _ *http.Request) {
		s.executions.reset()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// Executions returns a copy of the counts.
func (s *Server) Executions() ExecutionCounts { return s.executions.snapshot() }

// SetLeaving marks the service as leaving in its load reports.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, blackboard.LoadReport{
		Running:  int(s.running.Load()),
		MaxBatch: s.cfg.MaxConcurrent,
		Leaving:  s.leaving.Load(),
	})
}

// Result is the body of the response to a call.
type Result struct {
	Instance string `json:"instance"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	Key      string `json:"key,omitempty"`
	// Execution is the number of executions for Key, this one included; 0 if
	// Key is empty.
	Execution int `json:"execution"`
}

// callBody is the part of a call's body that the service reads. Key is the
// business key by which executions are counted.
type callBody struct {
	Key string `json:"key"`
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(sender.HeaderAttemptID, r.Header.Get(sender.HeaderAttemptID))
	if !s.fencingAllows(r) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	var parsed callBody
	// A body of another form has no business key.
	_ = json.Unmarshal(body, &parsed)
	execution := s.executions.record(r, parsed.Key)
	s.waitCallDuration(r)
	writeJSON(w, http.StatusOK, Result{
		Instance:  s.cfg.ID,
		Method:    r.Method,
		Path:      r.URL.Path,
		Key:       parsed.Key,
		Execution: execution,
	})
}

// fencingAllows checks the call's fencing token, if it has one and the service
// checks them.
func (s *Server) fencingAllows(r *http.Request) bool {
	header := r.Header.Get(sender.HeaderFencingToken)
	if !s.cfg.ChecksFencing || header == "" {
		return true
	}
	token, err := strconv.ParseUint(header, 10, 64)
	return err == nil && s.executions.acceptFencingToken(r.Header.Get(sender.HeaderActionID), token)
}

// waitCallDuration waits for CallDuration or until the caller has gone.
func (s *Server) waitCallDuration(r *http.Request) {
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
