package edgeserver_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOddEntriesOfOtherWritersAreLeftOut guards against entries that stop a gateway from
// following the list, take its requests, or stand in for a sound endpoint for good.
func TestOddEntriesOfOtherWritersAreLeftOut(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	e := s.startEndpoint("i-1", "app", "north-a")
	s.setRoute("/q/", "app")
	g := s.startGateway("n1", "north-a")
	s.eventually(startupLimit, "serves", func() bool { return g.ready() && g.call("/q/x") == http.StatusOK })
	odd := func(id, field string, value any) {
		entry := map[string]any{
			"service": "app", "address": "127.0.0.1:1", "zone": "north-a", "version": "v1", "slots": 8, "state": "ready",
			"cold-remaining-ms": 0, "sequence": 1, "born": 1_700_000_000_000,
		}
		entry[field] = value
		body, err := json.Marshal(entry)
		require.NoError(t, err)
		s.store.Put("servers/"+id, body)
	}
	nested := json.RawMessage(strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000))
	odd("odd-1", "address", "127.0.0.1:99999")
	odd("odd-2", "slots", 1e300)
	odd("odd-3", "born", nested)
	s.store.Put("servers/odd-4", []byte(strings.Repeat(`{"service":`, 90_000)))
	s.store.Put("servers/odd-5", []byte(`{"slots":1e999}`))
	// The entry of a sound endpoint is overwritten, and written again by the endpoint.
	odd("i-1", "born", 1e300)
	time.Sleep(1500 * time.Millisecond)
	require.NoError(t, e.WriteHeartbeat())
	s.eventually(3*time.Second, "the sound endpoint serves again", func() bool { return g.call("/q/x") == http.StatusOK })
	for range 50 {
		require.Equal(t, http.StatusOK, g.call("/q/x"))
	}
	added := s.startEndpoint("i-2", "app", "north-a")
	s.eventually(3*time.Second, "the list is followed", func() bool {
		return g.call("/q/x") == http.StatusOK && len(added.Executions()) > 0
	})
}
