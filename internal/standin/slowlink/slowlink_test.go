package slowlink_test

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/standin/slowlink"
)

func TestRateIsKept(t *testing.T) {
	for _, piece := range []int{100, 5000, 1 << 20} {
		synctest.Test(t, func(t *testing.T) {
			server, client := net.Pipe()
			dial := func(context.Context, string, string) (net.Conn, error) { return client, nil }
			c, err := slowlink.Dial(dial, slowlink.TenMegabits)(t.Context(), "", "")
			require.NoError(t, err)
			go func() {
				for sent := 0; sent < 1<<20; sent += piece {
					_, _ = server.Write(make([]byte, piece))
				}
				server.Close()
			}()
			startedAt := time.Now()
			n, err := io.Copy(io.Discard, c)
			require.NoError(t, err)
			require.InDelta(t, float64(n)/slowlink.TenMegabits, time.Since(startedAt).Seconds(), 0.001)
		})
	}
}
