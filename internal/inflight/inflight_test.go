package inflight

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

func TestIdleWhileNothingIsUnderWay(t *testing.T) {
	c := New()
	idle, n := c.Wait()
	require.True(t, isClosed(idle))
	require.Zero(t, n)
	c.Enter()
	c.Enter()
	idle, n = c.Wait()
	require.False(t, isClosed(idle))
	require.Equal(t, 2, n)
	c.Leave()
	require.False(t, isClosed(idle))
	c.Leave()
	require.True(t, isClosed(idle))
}
