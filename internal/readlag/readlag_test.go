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
	m.Receive(0, at(0))
	require.Zero(t, m.Lag(at(0)), "nothing was sent")
	first, second := m.Send(at(0)), m.Send(at(100))
	require.Equal(t, 150*time.Millisecond, m.Lag(at(150)), "the first has not been read for so long")
	m.Receive(second+1, at(200))
	require.Equal(t, 200*time.Millisecond, m.Lag(at(200)), "that one was never sent")
	m.Receive(first, at(300))
	m.Receive(first, at(300))
	require.Equal(t, 300*time.Millisecond, m.Lag(at(301)))
	m.Receive(second, at(302))
	require.Equal(t, 202*time.Millisecond, m.Lag(at(1000)))
	third := m.Send(at(1000))
	require.Equal(t, 202*time.Millisecond, m.Lag(at(1001)), "the lag that was seen last holds")
	m.Receive(third, at(1002))
	require.Equal(t, 2*time.Millisecond, m.Lag(at(1100)))
}

// TestLostProbeCountsUntilTheNextArrives guards against a gateway that takes itself for far
// behind since one datagram was lost.
func TestLostProbeCountsUntilTheNextArrives(t *testing.T) {
	now := time.Now()
	var m readlag.Meter
	lost := m.Send(now)
	now = now.Add(100 * time.Millisecond)
	next := m.Send(now)
	now = now.Add(time.Millisecond)
	m.Receive(next, now)
	m.Receive(lost, now)
	require.Equal(t, time.Millisecond, m.Lag(now.Add(time.Minute)))
}

func TestLagIsBoundedWhenNoProbeArrives(t *testing.T) {
	now := time.Now()
	var m readlag.Meter
	for range 1000 {
		m.Send(now)
		now = now.Add(100 * time.Millisecond)
	}
	require.Equal(t, 3*time.Second, m.Lag(now))
}
