package loadpoll

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/standin/endless"
)

// TestEndlessLoadReports guards against an endpoint whose load report never ends.
func TestEndlessLoadReports(t *testing.T) {
	// maxTaken is what the buffers of the sockets hold.
	const maxTaken = 16 << 20
	for name, response := range endless.Responses() {
		t.Run(name, func(t *testing.T) {
			s := endless.Start(t, response)
			c := New(nil, 0, nil, (&net.Dialer{}).DialContext)
			_, _, err := c.fetch(context.Background(), s.Address)
			require.Error(t, err)
			s.RequireClosed(t, maxTaken)
		})
	}
}
