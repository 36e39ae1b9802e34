package peerfetch

import (
	"context"
	"crypto/rand"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/standin/slowlink"
)

// TestLargestConfigurationIsFetchedOverASlowLink guards against a configuration that never comes
// into force since the fetch of it is given up, and begun anew, while its bytes arrive.
func TestLargestConfigurationIsFetchedOverASlowLink(t *testing.T) {
	largest := make([]byte, 1<<20)
	_, _ = rand.Read(largest)
	server := httptest.NewServer(Handler(Sources{Routes: func() []byte { return largest }}))
	defer server.Close()
	client := NewClient(slowlink.Dial((&net.Dialer{}).DialContext, slowlink.TenMegabits), nil)
	got, err := client.FetchRoutes(context.Background(), strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	require.Equal(t, largest, got)
}
