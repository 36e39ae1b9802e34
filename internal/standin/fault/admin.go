package fault

import (
	"encoding/json"
	"net/http"

	"goji.io"
	"goji.io/pat"
)

// maxAdminBodyBytes bounds the body of an admin request.
const maxAdminBodyBytes = 4 << 10

// AdminHandler serves GET /faults (the active settings), PUT /faults (adds a
// Setting), DELETE /faults (removes all) and DELETE /faults/{kind} (removes those of
// one kind).
func (s *Switches) AdminHandler() http.Handler {
	mux := goji.NewMux()
	s.Mount(mux)
	return mux
}

// Mount adds the routes of AdminHandler to mux.
func (s *Switches) Mount(mux *goji.Mux) {
	mux.HandleFunc(pat.Get("/faults"), s.handleList)
	mux.HandleFunc(pat.Put("/faults"), s.handleSet)
	mux.HandleFunc(pat.Delete("/faults"), s.handleReset)
	mux.HandleFunc(pat.Delete("/faults/:kind"), s.handleClear)
}

func (s *Switches) handleList(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.List())
}

func (s *Switches) handleSet(w http.ResponseWriter, r *http.Request) {
	var setting Setting
	body := http.MaxBytesReader(w, r.Body, maxAdminBodyBytes)
	if err := json.NewDecoder(body).Decode(&setting); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Set(setting); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Switches) handleReset(w http.ResponseWriter, _ *http.Request) {
	s.Reset()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Switches) handleClear(w http.ResponseWriter, r *http.Request) {
	s.Clear(Kind(pat.Param(r, "kind")))
	w.WriteHeader(http.StatusNoContent)
}
