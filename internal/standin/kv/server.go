package kv

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"goji.io"
	"goji.io/pat"

	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/fault"
)

// maxWatchWait bounds the wait_ms parameter of a watch.
const maxWatchWait = 5 * time.Minute

// Server serves a Store over HTTP.
type Server struct {
	Store  *Store
	Faults *fault.Switches
	calls  *callCounter
}

// New returns a server with an empty store that enforces limits.
func New(limits Limits) *Server {
	return &Server{Store: NewStore(), Faults: fault.New(), calls: newCallCounter(limits)}
}

// Calls returns the counts of calls since the start.
func (s *Server) Calls() CallReport { return s.calls.report() }

// Handler serves the published protocol; the fault switches apply to it.
func (s *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/kv"), s.countCalls(CallList, s.handleList))
	mux.HandleFunc(pat.Get("/v1/kv/*"), s.countCalls(CallGet, s.handleGet))
	mux.HandleFunc(pat.Put("/v1/kv/*"), s.countCalls(CallPut, s.handlePut))
	mux.HandleFunc(pat.Delete("/v1/kv/*"), s.countCalls(CallDelete, s.handleDelete))
	mux.HandleFunc(pat.Get("/v1/watch/*"), s.countCalls(CallWatch, s.handleWatch))
	mux.HandleFunc(pat.Post("/v1/leases"), s.countCalls(CallLease, s.handleGrant))
	mux.HandleFunc(pat.Put("/v1/leases/:id"), s.countCalls(CallLease, s.handleKeepAlive))
	mux.HandleFunc(pat.Delete("/v1/leases/:id"), s.countCalls(CallLease, s.handleRevoke))
	return s.Faults.Middleware(s.nameEra(mux))
}

// nameEra returns a handler whose responses name the era of the store.
func (s *Server) nameEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&eraWriter{ResponseWriter: w, store: s.Store}, r)
	})
}

// eraWriter adds the era at the time of the response.
type eraWriter struct {
	http.ResponseWriter
	store *Store
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	era := w.store.Era()
	w.Header().Set(platform.HeaderEra, strconv.FormatUint(era.Number, 10))
	if !era.BeganAt.IsZero() {
		w.Header().Set(platform.HeaderRestoredMillis, strconv.FormatInt(time.Since(era.BeganAt).Milliseconds(), 10))
	}
	w.ResponseWriter.WriteHeader(status)
}

// AdminHandler serves the admin routes of the fault switches and GET /calls.
func (s *Server) AdminHandler() http.Handler {
	mux := goji.NewMux()
	s.Faults.Mount(mux)
	mux.HandleFunc(pat.Get("/calls"), func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Calls())
	})
	return mux
}

// countCalls returns a handler that counts each call and refuses it above the
// limits, otherwise passes it to next.
func (s *Server) countCalls(k CallKind, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.calls.admit(k) {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "rate exceeded", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	e, err := s.Store.Get(keyFromPath(r, "/v1/kv/"))
	writeResult(w, e, err)
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, s.Store.List(r.URL.Query().Get("prefix")))
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	ifVersion, era, err := conditionParams(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	lease := platform.LeaseID(r.URL.Query().Get("lease"))
	e, err := s.Store.Put(keyFromPath(r, "/v1/kv/"), value, platform.PutOptions{IfVersion: ifVersion, Lease: lease, Era: era})
	writeResult(w, e, err)
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	ifVersion, era, err := conditionParams(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeNoContent(w, s.Store.Delete(keyFromPath(r, "/v1/kv/"), platform.DeleteOptions{IfVersion: ifVersion, Era: era}))
}

// handleWatch responds when the key has a version above the parameter after, at the
// latest after wait_ms with the present state.
func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := strconv.ParseUint(q.Get("after"), 10, 64)
	millis, errWait := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	wait := time.Duration(millis) * time.Millisecond
	if errAfter != nil || errWait != nil || wait < 0 || wait > maxWatchWait {
		http.Error(w, "bad after or wait_ms", http.StatusBadRequest)
		return
	}
	key := keyFromPath(r, "/v1/watch/")
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes := s.Store.Changes()
		e, err := s.Store.Get(key)
		if err == nil && e.Version > after {
			writeResult(w, e, nil)
			return
		}
		select {
		case <-changes:
		case <-timer.C:
			writeResult(w, e, err)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// grantResponse is the body of the response to a new lease.
type grantResponse struct {
	Lease platform.LeaseID `json:"lease"`
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	millis, err := strconv.ParseInt(r.URL.Query().Get("ttl_ms"), 10, 64)
	if err != nil || millis <= 0 {
		http.Error(w, "bad ttl_ms", http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, grantResponse{s.Store.Grant(time.Duration(millis) * time.Millisecond)})
}

func (s *Server) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	writeNoContent(w, s.Store.KeepAlive(platform.LeaseID(pat.Param(r, "id"))))
}

func (s *Server) handleRevoke(w http.ResponseWriter, r *http.Request) {
	writeNoContent(w, s.Store.Revoke(platform.LeaseID(pat.Param(r, "id"))))
}

func keyFromPath(r *http.Request, prefix string) string {
	return strings.TrimPrefix(r.URL.Path, prefix)
}

// conditionParams returns the parameters if_version, nil if it isn't set, and era, 0 if it
// isn't set.
func conditionParams(r *http.Request) (ifVersion *uint64, era uint64, err error) {
	q := r.URL.Query()
	if param := q.Get("era"); param != "" {
		if era, err = strconv.ParseUint(param, 10, 64); err != nil {
			return nil, 0, err
		}
	}
	param := q.Get("if_version")
	if param == "" {
		return nil, era, nil
	}
	v, err := strconv.ParseUint(param, 10, 64)
	return &v, era, err
}

// writeNoContent writes status 204, or the status that stands for err.
func writeNoContent(w http.ResponseWriter, err error) {
	if err != nil {
		writeResult(w, platform.Entry{}, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// conflictResponse is the body of a response with status 409.
type conflictResponse struct {
	Actual uint64 `json:"actual"`
}

// eraResponse is the body of a response with status 412.
type eraResponse struct {
	Era uint64 `json:"era"`
}

// writeResult writes the entry, or the status that stands for err.
func writeResult(w http.ResponseWriter, e platform.Entry, err error) {
	var conflict *platform.ConflictError
	var missing *platform.NotFoundError
	var restored *platform.RestoredError
	switch {
	case errors.As(err, &restored):
		writeJSON(w, http.StatusPreconditionFailed, eraResponse{restored.Got})
	case err == nil:
		writeJSON(w, http.StatusOK, e)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, conflictResponse{conflict.ActualVersion})
	case errors.As(err, &missing):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
