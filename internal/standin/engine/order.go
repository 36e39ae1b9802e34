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

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(relay.HeaderAttemptID, r.Header.Get(relay.HeaderAttemptID))
	var o Order
	if !decode(w, r, &o) {
		return
	}
	if !s.takeOrder(o) {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// takeOrder carries out an order, unless the engine checks fencing numbers
// and has seen a higher one.
func (s *Server) takeOrder(o Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.ChecksFencing && o.FencingToken < s.fencing {
		return false
	}
	s.fencing = max(s.fencing, o.FencingToken)
	s.orders = append(s.orders, o)
	return true
}

// Orders returns the orders carried out so far.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders...)
}
