package edge

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/route"
)

// liveHeap returns the bytes on the heap that are in use.
func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// startStalledHead starts an endpoint that answers each request with a head of the given lines
// and then keeps the connection open without a further byte. The WaitGroup is done once per
// request that got them.
func (c *cluster) startStalledHead(lines string, sent *sync.WaitGroup) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if n, _ := conn.Read(make([]byte, 4<<10)); n == 0 {
					return // The gateway has asked whether the endpoint still runs.
				}
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n", lines)
				sent.Done()
				_, _ = conn.Read(make([]byte, 1))
			}()
		}
	}()
	c.setEntry(fleet.Endpoint{ID: "stalled", Service: "s", DataCentre: "north-a", Slots: 1000, Address: l.Addr().String()})
}

// TestEndlessHeadsFitIntoASmallMachine guards against endpoints that fill a gateway's memory
// with heads of short lines, which take many times their size once they are parsed.
func TestEndlessHeadsFitIntoASmallMachine(t *testing.T) {
	const (
		requests = 200
		// maxHeap is a quarter of the memory of the smallest machines.
		maxHeap = 36 << 20
	)
	var short strings.Builder
	for i := 0; short.Len() < 60<<10; i++ {
		fmt.Fprintf(&short, "%x:\r\n", i)
	}
	for name, lines := range map[string]string{"short lines": short.String(), "a long line": "X-Long: " + strings.Repeat("x", 60<<10)} {
		c := newCluster(t, "north")
		c.addRoute(route.Route{Prefix: "/q/", Kind: route.Idempotent, MaxAttempts: 1, Timeout: 5 * time.Second})
		var sent, done sync.WaitGroup
		sent.Add(requests)
		c.startStalledHead(lines, &sent)
		before := liveHeap()
		for i := range requests {
			done.Go(func() {
				c.regions["north"].call(http.MethodGet, "/q/", "", map[string]string{headerID: fmt.Sprint("id-", i)})
			})
		}
		sent.Wait()
		highest := int64(0)
		for end := time.Now().Add(time.Second); time.Now().Before(end); {
			highest = max(highest, liveHeap()-before)
		}
		t.Logf("%s: %d MB for %d heads", name, highest>>20, requests)
		require.Less(t, highest, int64(maxHeap), name)
		done.Wait()
	}
}
