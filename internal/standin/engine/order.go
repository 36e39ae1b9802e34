package engine

import (
	"encoding/json"
	"net/http"

	"github.com/hickorystage/hickorystage/internal/relay"
)

// Order is what an engine is told to do: load a model, change its role.
type Order struct {
	Order        json.RawMessage `json:"order"`
	FencingToken uint64          `json:"fencing"`
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(relay.HeaderAttemptID, r.Header.Get(relay.HeaderAttemptID))
	var o Order
	if !decodeJSON(w, r, &o) {
		return
	}
	if !s.executeOrder(o) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// executeOrder carries out an order, unless the engine checks fencing numbers
// and has seen a higher one.
func (s *Server) executeOrder(o Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.ChecksFencing && o.FencingToken < s.highestFencingToken {
		return false
	}
	s.highestFencingToken = max(s.highestFencingToken, o.FencingToken)
	s.orders = append(s.orders, o)
	return true
}

// Orders returns the orders carried out so far.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders...)
}
