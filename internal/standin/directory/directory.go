// Package directory is the stand-in of two services of the platform: the
// directory in which callers find a first gateway, and the list of instances,
// which lags behind.
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

// Server holds the directory and the instance list.
type Server struct {
	Faults *fault.Switches
	lag    time.Duration

	mu      sync.Mutex
	entries map[string]registration
	// pending holds the changes that the list does not show yet, oldest first.
	pending []change
	shown   map[string]platform.Instance
}

type registration struct {
	platform.Registration
	expires time.Time
}

type change struct {
	at       time.Time
	id       string
	instance platform.Instance
	removed  bool
}

// New returns a server whose instance list lags by lag.
func New(lag time.Duration) *Server {
	return &Server{
		Faults:  fault.New(),
		lag:     lag,
		entries: map[string]registration{},
		shown:   map[string]platform.Instance{},
	}
}

// Handler serves the published protocol, behind the fault switches.
func (s *Server) Handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/directory"), s.lookup)
	mux.HandleFunc(pat.Put("/v1/directory/:instance"), s.register)
	mux.HandleFunc(pat.Delete("/v1/directory/:instance"), s.deregister)
	mux.HandleFunc(pat.Get("/v1/instances"), s.instances)
	mux.HandleFunc(pat.Put("/v1/instances/:id"), s.putInstance)
	mux.HandleFunc(pat.Delete("/v1/instances/:id"), s.deleteInstance)
	return s.Faults.Middleware(mux)
}

// AdminHandler serves the fault switches.
func (s *Server) AdminHandler() http.Handler { return s.Faults.AdminHandler() }

func (s *Server) lookup(w http.ResponseWriter, _ *http.Request) { answer(w, s.Lookup()) }

// Lookup returns the registrations that have not expired, ordered by instance.
func (s *Server) Lookup() []platform.Registration {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []platform.Registration{}
	now := time.Now()
	for id, e := range s.entries {
		if !e.expires.After(now) {
			delete(s.entries, id)
			continue
		}
		out = append(out, e.Registration)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	millis, err := strconv.ParseInt(r.URL.Query().Get("ttl_ms"), 10, 64)
	if err != nil || millis <= 0 {
		http.Error(w, "bad ttl_ms", http.StatusBadRequest)
		return
	}
	var reg platform.Registration
	if !decode(w, r, &reg) {
		return
	}
	reg.Instance = pat.Param(r, "instance")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[reg.Instance] = registration{reg, time.Now().Add(time.Duration(millis) * time.Millisecond)}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deregister(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, pat.Param(r, "instance"))
	w.WriteHeader(http.StatusNoContent)
}

// instances answers 304 when the caller has the present list already.
func (s *Server) instances(w http.ResponseWriter, r *http.Request) {
	list := s.Instances(r.URL.Query().Get("region"))
	etag := etagOf(list)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	answer(w, list)
}

func etagOf(list []platform.Instance) string {
	raw, _ := json.Marshal(list)
	return strconv.Quote(strconv.FormatUint(xxhash.Sum64(raw), 16))
}

// Instances returns the lagging list of a region, or of all when region is "".
func (s *Server) Instances(region string) []platform.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	out := []platform.Instance{}
	for _, i := range s.shown {
		if region == "" || i.Region == region {
			out = append(out, i)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// settle shows the changes that are older than the lag.
func (s *Server) settle() {
	limit := time.Now().Add(-s.lag - s.Faults.PublishDelay())
	for len(s.pending) > 0 && !s.pending[0].at.After(limit) {
		c := s.pending[0]
		s.pending = s.pending[1:]
		if c.removed {
			delete(s.shown, c.id)
			continue
		}
		s.shown[c.id] = c.instance
	}
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var i platform.Instance
	if !decode(w, r, &i) {
		return
	}
	i.ID = pat.Param(r, "id")
	s.PutInstance(i)
	w.WriteHeader(http.StatusNoContent)
}

// PutInstance adds or changes an instance; the list shows it after the lag.
func (s *Server) PutInstance(i platform.Instance) {
	s.change(change{id: i.ID, instance: i})
}

func (s *Server) deleteInstance(w http.ResponseWriter, r *http.Request) {
	s.DeleteInstance(pat.Param(r, "id"))
	w.WriteHeader(http.StatusNoContent)
}

// DeleteInstance removes an instance; the list shows it after the lag.
func (s *Server) DeleteInstance(id string) { s.change(change{id: id, removed: true}) }

func (s *Server) change(c change) {
	if s.Faults.SkipPublished() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.at = time.Now()
	s.pending = append(s.pending, c)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
