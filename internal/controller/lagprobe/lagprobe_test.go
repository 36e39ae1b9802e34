package lagprobe_test

import (
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/controller/lagprobe"
	"github.com/hickorystage/hickorystage/internal/readlag"
)

// TestLagShowsAShortageOfProcessorTime guards against a gateway that falls behind its sockets and
// doesn't know it.
func TestLagShowsAShortageOfProcessorTime(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	meter := &readlag.Meter{}
	c := lagprobe.New(conn, meter, log.New(io.Discard))
	var tb tomb.Tomb
	tb.Go(func() error { return c.Run(&tb) })
	var busy atomic.Bool
	busy.Store(true)
	for range 60 {
		go func() {
			for busy.Load() {
			}
		}()
	}
	require.Eventually(t, func() bool { return meter.Lag(time.Now()) >= 100*time.Millisecond }, 20*time.Second, 10*time.Millisecond)
	busy.Store(false)
	require.Eventually(t, func() bool { return meter.Lag(time.Now()) < 100*time.Millisecond }, 20*time.Second, 10*time.Millisecond)
	tb.Kill(nil)
	require.NoError(t, tb.Wait())
}

// silentConn sends nothing.
type silentConn struct{ net.PacketConn }

// WriteTo implements net.PacketConn.
func (silentConn) WriteTo(p []byte, _ net.Addr) (int, error) { return len(p), nil }

// TestForeignDatagramsAreNoProbes guards against a lag that others can set.
func TestForeignDatagramsAreNoProbes(t *testing.T) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	meter := &readlag.Meter{}
	c := lagprobe.New(silentConn{conn}, meter, log.New(io.Discard))
	var tb tomb.Tomb
	tb.Go(func() error { return c.Run(&tb) })
	other, err := net.Dial("udp", conn.LocalAddr().String())
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		for number := range uint64(250) {
			_, err := other.Write(binary.BigEndian.AppendUint64(nil, number))
			require.NoError(t, err)
		}
		return meter.Lag(time.Now()) >= 500*time.Millisecond
	}, 20*time.Second, 10*time.Millisecond)
	tb.Kill(nil)
	require.NoError(t, tb.Wait())
	require.NoError(t, other.Close())
}
