// Package directory is a stand-in for two services of the platform: the directory in
// which callers find a first gateway, and the instance list, whose contents lag
// behind the changes made to it.
package directory

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"goji.io"
	"goji.io/pat"

	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/fault"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 64 << 10

// Server serves the directory and the instance list. It is safe for concurrent use.
type Server struct {
	Faults *fault.Switches
	// lag is the delay until a change appears in the instance list.
	lag time.Duration

	mu            sync.Mutex
	registrations map[string]registration
	// pending holds the changes that aren't in listed yet, oldest first.
	pending []change
	listed  map[string]platform.Instance
}

// registration is a gateway's entry in the directory.
type registration struct {
	platform.Registration
	expiresAt time.Time
}

// change adds, updates or removes an instance of the instance list.
type change struct {
	changedAt time.Time
	id        string
	instance  platform.Instance
	removed   bool
}

// New returns an empty server whose instance list shows changes after lag.
func New(lag time.Duration) *Server {
	return &Server{
		Faults:        fault.New(),
		lag:           lag,
		registrations: map[string]registration{},
		listed:        map[string]platform.Instance{},
	}
}

// Handler serves the published protocol; the fault switches apply to it.
func (s *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/directory"), s.handleLookup)
	mux.HandleFunc(pat.Put("/v1/directory/:instance"), s.handleRegister)
	mux.HandleFunc(pat.Delete("/v1/directory/:instance"), s.handleDeregister)
	mux.HandleFunc(pat.Get("/v1/instances"), s.handleInstances)
	mux.HandleFunc(pat.Put("/v1/instances/:id"), s.handlePutInstance)
	mux.HandleFunc(pat.Delete("/v1/instances/:id"), s.handleDeleteInstance)
	return s.Faults.Middleware(mux)
}

// AdminHandler serves the admin routes of the fault switches.
func (s *Server) AdminHandler() http.Handler { return s.Faults.AdminHandler() }

func (s *Server) handleLookup(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Lookup()) }

// Lookup returns the registrations that haven't expired, ordered by instance.
func (s *Server) Lookup() []platform.Registration {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []platform.Registration{}
	now := time.Now()
	for id, e := range s.registrations {
		if !e.expiresAt.After(now) {
			delete(s.registrations, id)
			continue
		}
		out = append(out, e.Registration)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

func (s *Server) handleRegister(w http.ResponseWriter, r *http.Request) {
	ttlMillis, err := strconv.ParseInt(r.URL.Query().Get("ttl_ms"), 10, 64)
	if err != nil || ttlMillis <= 0 {
		http.Error(w, "bad ttl_ms", http.StatusBadRequest)
		return
	}
	var entry platform.Registration
	if !decodeJSON(w, r, &entry) {
		return
	}
	entry.Instance = pat.Param(r, "instance")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registrations[entry.Instance] = registration{entry, time.Now().Add(time.Duration(ttlMillis) * time.Millisecond)}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleDeregister(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.registrations, pat.Param(r, "instance"))
	w.WriteHeader(http.StatusNoContent)
}

// handleInstances serves the instance list, or status 304 if the caller's copy is
// current.
func (s *Server) handleInstances(w http.ResponseWriter, r *http.Request) {
	list := s.Instances(r.URL.Query().Get("region"))
	etag := etagOf(list)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, list)
}

func etagOf(list []platform.Instance) string {
	raw, _ := json.Marshal(list)
	return strconv.Quote(strconv.FormatUint(xxhash.Sum64(raw), 16))
}

// Instances returns the lagging instance list of a region, ordered by id, or of all
// regions if region is empty.
func (s *Server) Instances(region string) []platform.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDueChanges()
	out := []platform.Instance{}
	for _, i := range s.listed {
		if region == "" || i.Region == region {
			out = append(out, i)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// applyDueChanges moves the changes that are older than the lag to listed. The caller
// holds the lock.
func (s *Server) applyDueChanges() {
	visibleUntil := time.Now().Add(-s.lag - s.Faults.PublishDelay())
	for len(s.pending) > 0 && !s.pending[0].changedAt.After(visibleUntil) {
		c := s.pending[0]
		s.pending = s.pending[1:]
		if c.removed {
			delete(s.listed, c.id)
			continue
		}
		s.listed[c.id] = c.instance
	}
}

func (s *Server) handlePutInstance(w http.ResponseWriter, r *http.Request) {
	var i platform.Instance
	if !decodeJSON(w, r, &i) {
		return
	}
	i.ID = pat.Param(r, "id")
	s.PutInstance(i)
	w.WriteHeader(http.StatusNoContent)
}

// PutInstance adds or updates an instance; the list shows it after the lag.
func (s *Server) PutInstance(i platform.Instance) {
	s.addPending(change{id: i.ID, instance: i})
}

func (s *Server) handleDeleteInstance(w http.ResponseWriter, r *http.Request) {
	s.DeleteInstance(pat.Param(r, "id"))
	w.WriteHeader(http.StatusNoContent)
}

// DeleteInstance removes an instance; the list shows it after the lag.
func (s *Server) DeleteInstance(id string) { s.addPending(change{id: id, removed: true}) }

// addPending records a change, unless the fault PublishGaps omits it.
func (s *Server) addPending(c change) {
	if s.Faults.SkipPublished() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.changedAt = time.Now()
	s.pending = append(s.pending, c)
}

func decodeJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
