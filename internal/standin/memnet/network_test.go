package memnet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPartitionDuringTheHandshake guards against a connection that crosses a partition because
// it was being opened when the partition began.
func TestPartitionDuringTheHandshake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork(55 * time.Millisecond)
		l, err := n.Host("north", "server").Listen("10.0.0.1:80")
		require.NoError(t, err)
		defer l.Close()
		go func() { _, _ = l.Accept() }()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		dialled := make(chan error, 1)
		go func() {
			_, err := n.Host("south", "client").Dial(ctx, "tcp", "10.0.0.1:80")
			dialled <- err
		}()
		synctest.Wait()
		require.Empty(t, dialled)
		n.Partition("north", "south")
		require.ErrorIs(t, <-dialled, context.DeadlineExceeded)
		require.Empty(t, n.conns, "nothing stays open")
	})
}
