package readlag_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/readlag"
)

func TestLag(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var m readlag.Meter
	require.Zero(t, m.Lag(at(0)))
	first, ok := m.Send(at(0))
	require.True(t, ok)
	_, ok = m.Send(at(100))
	require.False(t, ok, "one at a time")
	require.Equal(t, 100*time.Millisecond, m.Lag(at(100)), "the probe has not been read for so long")
	m.Receive(first+1, at(200))
	m.Receive(first, at(300))
	m.Receive(first, at(900))
	require.Equal(t, 300*time.Millisecond, m.Lag(at(1000)))
	second, ok := m.Send(at(1000))
	require.True(t, ok)
	require.Equal(t, 300*time.Millisecond, m.Lag(at(1001)), "the lag that was seen last holds")
	m.Receive(second, at(1002))
	require.Equal(t, 2*time.Millisecond, m.Lag(at(1100)))
}

func TestLostProbe(t *testing.T) {
	now := time.Now()
	var m readlag.Meter
	lost, _ := m.Send(now)
	require.Equal(t, readlag.MaxLag, m.Lag(now.Add(time.Hour)))
	now = now.Add(readlag.MaxLag)
	next, ok := m.Send(now)
	require.True(t, ok)
	m.Receive(lost, now)
	m.Receive(next, now.Add(time.Millisecond))
	require.Equal(t, time.Millisecond, m.Lag(now))
}
