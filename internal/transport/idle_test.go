package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestKeepAliveTime(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=5":             4500 * time.Millisecond,
		"max=100, Timeout = 15": 14500 * time.Millisecond,
		`timeout="5"`:           4500 * time.Millisecond,
		"timeout=1":             500 * time.Millisecond,
		"timeout=0":             0,
		"timeout=4000000000":    maxKeepAlive,
	} {
		got, ok := keepAliveTime(http.Header{"Keep-Alive": {text}})
		require.True(t, ok, text)
		require.Equal(t, want, got, text)
	}
	for _, text := range []string{"", "timeout", "timeout=", "timeout=-5", "timeout=soon", "timeout=1e3", "timeout=99999999999999999999", "max=5", ",,,="} {
		_, ok := keepAliveTime(http.Header{"Keep-Alive": {text}})
		require.False(t, ok, text)
	}
	got, ok := keepAliveTime(http.Header{"Keep-Alive": {"max=5", "timeout=9"}})
	require.True(t, ok)
	require.Equal(t, 8500*time.Millisecond, got)
}

// pipeServer answers on in-memory connections. Each response states keepAlive, unless it is
// empty.
type pipeServer struct {
	keepAlive atomic.Value
	opened    atomic.Int64
}

func newPipeServer(keepAlive string) *pipeServer {
	s := &pipeServer{}
	s.keepAlive.Store(keepAlive)
	return s
}

func (s *pipeServer) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	s.opened.Add(1)
	go s.serve(server)
	return client, nil
}

func (s *pipeServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		header := ""
		if text := s.keepAlive.Load().(string); text != "" {
			header = "Keep-Alive: " + text + "\r\n"
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", header); err != nil {
			return
		}
	}
}

// sendEach sends n requests to the address, with a pause after each, and returns how many
// connections were opened.
func (s *pipeServer) sendEach(t *testing.T, tr *Transport, address string, n int, pause time.Duration) int64 {
	before := s.opened.Load()
	for range n {
		_, err := send(t, tr, newRequest(address, http.MethodGet, ""))
		require.NoError(t, err)
		time.Sleep(pause)
	}
	return s.opened.Load() - before
}

// TestConnectionsAreKeptForTheStatedTime guards against a connection for nearly every request
// where requests to one endpoint come every few seconds, and against keeping connections for
// longer than the server does.
func TestConnectionsAreKeptForTheStatedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeServer("timeout=15")
		tr := New(s.dial, time.Second)
		require.EqualValues(t, 2, s.sendEach(t, tr, "a", 20, 14*time.Second), "the first connection belongs to the time before")
		require.EqualValues(t, 1, s.sendEach(t, tr, "b", 20, 14*time.Second), "another endpoint mostly states the same")
		require.EqualValues(t, 4, s.sendEach(t, tr, "b", 5, 14600*time.Millisecond), "all but the first find a connection that the server is about to close")
		tr.Forget("a")
		tr.Forget("b")
	})
}

// TestConnectionsWithoutAStatedTime checks that servers that state nothing, or nothing that
// can be read, are treated as before, also after another one that does.
func TestConnectionsWithoutAStatedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stating := newPipeServer("timeout=15")
		silent := newPipeServer("timeout=soon")
		tr := New(func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == "stating:1" {
				return stating.dial(ctx, network, address)
			}
			return silent.dial(ctx, network, address)
		}, time.Second)
		require.EqualValues(t, 1, silent.sendEach(t, tr, "silent:1", 5, 2*time.Second))
		require.EqualValues(t, 4, silent.sendEach(t, tr, "silent:1", 5, 4*time.Second), "all but the first")
		stating.sendEach(t, tr, "stating:1", 2, time.Second)
		require.EqualValues(t, 6, silent.sendEach(t, tr, "silent:2", 6, 4*time.Second), "the time of another server is not taken for its own")
		for _, address := range []string{"silent:1", "silent:2", "stating:1"} {
			tr.Forget(address)
		}
	})
}

// TestServersThatChangeTheirMind checks that a shorter time applies at once, a longer one at
// most every few seconds, and that a response without a time changes nothing.
func TestServersThatChangeTheirMind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newPipeServer("timeout=15")
		tr := New(s.dial, time.Second)
		s.sendEach(t, tr, "a", 2, time.Second)
		idle := func() time.Duration { return tr.pool("a").keepAlive.current.Load().idle }
		require.Equal(t, 14500*time.Millisecond, idle())
		s.keepAlive.Store("")
		s.sendEach(t, tr, "a", 1, time.Second)
		require.Equal(t, 14500*time.Millisecond, idle())
		s.keepAlive.Store("timeout=2")
		s.sendEach(t, tr, "a", 1, time.Second)
		require.Equal(t, 1500*time.Millisecond, idle())
		opened := int64(0)
		for i := range 40 {
			s.keepAlive.Store([]string{"timeout=5", "timeout=2"}[i%2])
			opened += s.sendEach(t, tr, "a", 1, 100*time.Millisecond)
		}
		require.LessOrEqual(t, opened, int64(4), "times that alternate don't cost a connection for each request")
		s.keepAlive.Store("timeout=0")
		s.sendEach(t, tr, "a", 1, time.Second)
		require.EqualValues(t, 3, s.sendEach(t, tr, "a", 3, 0), "none is kept")
		tr.Forget("a")
	})
}

// TestFewRequestsOpenAConnection plays a gateway that sends 5 requests a second to 30
// endpoints in turn by chance, and counts the connections that it opens.
func TestFewRequestsOpenAConnection(t *testing.T) {
	count := func(keepAlive string) (opened int64) {
		synctest.Test(t, func(t *testing.T) {
			const endpoints, requests = 30, 1500
			random := rand.New(rand.NewPCG(1, 0))
			s := newPipeServer(keepAlive)
			tr := New(s.dial, time.Second)
			for range requests {
				opened += s.sendEach(t, tr, strconv.Itoa(random.IntN(endpoints)), 1, time.Duration(random.ExpFloat64()*float64(200*time.Millisecond)))
			}
			for i := range endpoints {
				tr.Forget(strconv.Itoa(i))
			}
		})
		return opened
	}
	before, stated := count(""), count("timeout=15")
	t.Logf("connections for 1500 requests: %d where nothing is stated, %d where 15 s are", before, stated)
	require.Less(t, stated, before/4)
}
