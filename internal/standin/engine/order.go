package engine

import (
	"encoding/json"
	"net/http"

	"github.com/hickorystage/hickorystage/internal/relay"
)

// Order tells an engine what to do, such as to load a model or change its role.
// The stand-in only records it.
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

// executeOrder records an order as executed. It returns false if the engine
// checks fencing tokens and has seen this one or a higher one.
func (s *Server) executeOrder(o Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.ChecksFencing && o.FencingToken <= s.highestFencingToken {
		return false
	}
	s.highestFencingToken = max(s.highestFencingToken, o.FencingToken)
	s.orders = append(s.orders, o)
	return true
}

// Orders returns the orders executed so far, in order of arrival.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders...)
}
