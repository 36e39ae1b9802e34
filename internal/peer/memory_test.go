package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/memory"
)

// TestForwardsAreChargedUntilTheyEnd checks what a forwarded request holds while it is
// handled and afterwards, and that it is refused in the gateway's words if there is no memory.
func TestForwardsAreChargedUntilTheyEnd(t *testing.T) {
	account := memory.NewAccount(10_000)
	handled, refused := 0, 0
	server := httptest.NewUnstartedServer(nil)
	address := server.Listener.Addr().String()
	server.Config.Handler = NewServer(NewSigner("server", []string{testSecret}), address, account, Handlers{
		Forward: func(_ http.ResponseWriter, _ *http.Request, _ Forward, _ string, body []byte) {
			handled++
			require.Equal(t, int64(len(body)), account.Usage().Forward)
		},
		RefuseForward: func(w http.ResponseWriter, _ *http.Request, err error) {
			refused++
			var exhausted *memory.ExhaustedError
			require.ErrorAs(t, err, &exhausted)
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	}).Handler()
	server.Start()
	t.Cleanup(server.Close)
	client := NewClient(NewSigner("client", []string{testSecret}), nil)
	for size, want := range map[int]int{9_000: http.StatusOK, 11_000: http.StatusServiceUnavailable} {
		resp, err := client.Forward(context.Background(), address, http.MethodPost, "/v1/x", nil, Forward{}, []byte(strings.Repeat("x", size)))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, want, resp.StatusCode)
	}
	require.Equal(t, []int{1, 1}, []int{handled, refused})
	require.Eventually(t, func() bool { return account.Usage().InUse == 0 }, 10*time.Second, time.Millisecond)
}

// TestOwnerRequestsWithoutMemoryAreNotTakenForLost guards against an action that counts as
// possibly sent, and is not tried elsewhere, because its owner had no memory for it.
func TestOwnerRequestsWithoutMemoryAreNotTakenForLost(t *testing.T) {
	server := httptest.NewUnstartedServer(nil)
	address := server.Listener.Addr().String()
	server.Config.Handler = NewServer(NewSigner("server", []string{testSecret}), address, memory.NewAccount(100), Handlers{}).Handler()
	server.Start()
	t.Cleanup(server.Close)
	client := NewClient(NewSigner("client", []string{testSecret}), nil)
	resp, err := client.SendOwnerRequest(context.Background(), address, PathActionRun, OwnerRequest{Call: &action.Call{Body: make([]byte, 1000)}})
	require.NoError(t, err)
	require.NotNil(t, resp.Refusal)
	require.Equal(t, failure.CodeOverloaded, resp.Refusal.Code)
	require.Equal(t, failure.Unknown, resp.Refusal.Outcome)
	require.Positive(t, resp.Refusal.RetryAfterMillis)
}
