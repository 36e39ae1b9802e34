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

func TestIdleWithoutRequests(t *testing.T) {
	c := New()
	idle, n := c.Idle()
	require.True(t, isClosed(idle))
	require.Zero(t, n)
	c.Begin()
	c.Begin()
	idle, n = c.Idle()
	require.False(t, isClosed(idle))
	require.Equal(t, 2, n)
	c.End()
	require.False(t, isClosed(idle))
	c.End()
	require.True(t, isClosed(idle))
}
