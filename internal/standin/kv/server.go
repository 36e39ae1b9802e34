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

// maxWait bounds a watch.
const maxWait = 5 * time.Minute

// Server serves a Store over HTTP.
type Server struct {
	Store  *Store
	Faults *fault.Switches
	calls  *calls
}

// New returns a server with an empty store.
func New(limits Limits) *Server {
	return &Server{Store: NewStore(), Faults: fault.New(), calls: newCalls(limits)}
}

// Calls returns the calls served so far.
func (s *Server) Calls() CallReport { return s.calls.report() }

// Handler serves the published protocol, behind the fault switches.
func (s *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/kv"), s.counted(CallList, s.list))
	mux.HandleFunc(pat.Get("/v1/kv/*"), s.counted(CallGet, s.get))
	mux.HandleFunc(pat.Put("/v1/kv/*"), s.counted(CallPut, s.put))
	mux.HandleFunc(pat.Delete("/v1/kv/*"), s.counted(CallDelete, s.remove))
	mux.HandleFunc(pat.Get("/v1/watch/*"), s.counted(CallWatch, s.watch))
	mux.HandleFunc(pat.Post("/v1/leases"), s.counted(CallLease, s.grant))
	mux.HandleFunc(pat.Put("/v1/leases/:id"), s.counted(CallLease, s.keepAlive))
	mux.HandleFunc(pat.Delete("/v1/leases/:id"), s.counted(CallLease, s.revoke))
	return s.Faults.Middleware(mux)
}

// AdminHandler serves the fault switches and GET /calls.
func (s *Server) AdminHandler() http.Handler {
	mux := goji.NewMux()
	s.Faults.Mount(mux)
	mux.HandleFunc(pat.Get("/calls"), func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, s.Calls())
	})
	return mux
}

func (s *Server) counted(k CallKind, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !s.calls.admit(k) {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "rate exceeded", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	e, err := s.Store.Get(keyOf(r, "/v1/kv/"))
	reply(w, e, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	answer(w, http.StatusOK, s.Store.List(r.URL.Query().Get("prefix")))
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := versionOf(r)
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
	e, err := s.Store.Put(keyOf(r, "/v1/kv/"), value, platform.PutOptions{IfVersion: ifVersion, Lease: lease})
	reply(w, e, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := versionOf(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	done(w, s.Store.Delete(keyOf(r, "/v1/kv/"), ifVersion))
}

// watch answers when the key has a version above after, or when the wait is over.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, errAfter := strconv.ParseUint(q.Get("after"), 10, 64)
	millis, errWait := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	wait := time.Duration(millis) * time.Millisecond
	if errAfter != nil || errWait != nil || wait < 0 || wait > maxWait {
		http.Error(w, "bad after or wait_ms", http.StatusBadRequest)
		return
	}
	key := keyOf(r, "/v1/watch/")
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes := s.Store.Changes()
		e, err := s.Store.Get(key)
		if err == nil && e.Version > after {
			reply(w, e, nil)
			return
		}
		select {
		case <-changes:
		case <-timer.C:
			reply(w, e, err)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// grantAnswer is the answer to a new lease.
type grantAnswer struct {
	Lease platform.LeaseID `json:"lease"`
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	millis, err := strconv.ParseInt(r.URL.Query().Get("ttl_ms"), 10, 64)
	if err != nil || millis <= 0 {
		http.Error(w, "bad ttl_ms", http.StatusBadRequest)
		return
	}
	answer(w, http.StatusOK, grantAnswer{s.Store.Grant(time.Duration(millis) * time.Millisecond)})
}

func (s *Server) keepAlive(w http.ResponseWriter, r *http.Request) {
	done(w, s.Store.KeepAlive(platform.LeaseID(pat.Param(r, "id"))))
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) {
	done(w, s.Store.Revoke(platform.LeaseID(pat.Param(r, "id"))))
}

func keyOf(r *http.Request, prefix string) string { return strings.TrimPrefix(r.URL.Path, prefix) }

func versionOf(r *http.Request) (*uint64, error) {
	text := r.URL.Query().Get("if_version")
	if text == "" {
		return nil, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	return &v, err
}

func done(w http.ResponseWriter, err error) {
	if err != nil {
		reply(w, platform.Entry{}, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// conflictAnswer is the body of a 409.
type conflictAnswer struct {
	Actual uint64 `json:"actual"`
}

func reply(w http.ResponseWriter, e platform.Entry, err error) {
	var conflict *platform.ConflictError
	var missing *platform.NotFoundError
	switch {
	case err == nil:
		answer(w, http.StatusOK, e)
	case errors.As(err, &conflict):
		answer(w, http.StatusConflict, conflictAnswer{conflict.Actual})
	case errors.As(err, &missing):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
