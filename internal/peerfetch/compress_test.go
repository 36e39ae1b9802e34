package peerfetch

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/standin/endless"
	"github.com/hickorystage/hickorystage/internal/standin/slowlink"
)

// largeConfig returns a configuration of about 1 MB as operators write it.
func largeConfig() []byte {
	var out strings.Builder
	out.WriteString(`{"version":7,"routes":[`)
	for i := 0; out.Len() < 1<<20; i++ {
		var name [5]byte
		_, _ = rand.Read(name[:])
		fmt.Fprintf(&out, `{"name":"r-%x","host":"h%d.example","prefix":"/%x/","kind":"idempotent","timeout-ms":1500,"target-latency-ms":500,"priority":2,"service":"app","max-attempts":2,"sticky":false,"resumable":false},`, name, i%50, name)
	}
	return []byte(strings.TrimSuffix(out.String(), ",") + "]}")
}

// TestRegionFetchesALargeConfigurationFromOneSlowLink guards against a version that is late in a
// whole region since the link of the gateway that all fetch it from is full for seconds.
func TestRegionFetchesALargeConfigurationFromOneSlowLink(t *testing.T) {
	const followers = 25
	config := largeConfig()
	var sent atomic.Int64
	handler := Handler(Sources{Routes: func() []byte { return config }})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(countingWriter{w, &sent}, r)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	startedAt := time.Now()
	var fetches sync.WaitGroup
	for range followers {
		fetches.Go(func() {
			// Each has its part of the link.
			client := NewClient(slowlink.Dial((&net.Dialer{}).DialContext, 2*slowlink.TenMegabits/followers), nil)
			got, err := client.FetchRoutes(context.Background(), address)
			if err != nil || string(got) != string(config) {
				t.Errorf("%d bytes, error %v", len(got), err)
			}
		})
	}
	fetches.Wait()
	require.Less(t, time.Since(startedAt), 5*time.Second)
	t.Logf("%d bytes of configuration, %d sent to each", len(config), sent.Load()/followers)
}

type countingWriter struct {
	http.ResponseWriter
	sent *atomic.Int64
}

func (w countingWriter) Write(p []byte) (int, error) {
	w.sent.Add(int64(len(p)))
	return w.ResponseWriter.Write(p)
}

// TestCompressedConfigurationFollowsTheVersion guards against a version that is sent in place of
// the next one.
func TestCompressedConfigurationFollowsTheVersion(t *testing.T) {
	var config atomic.Pointer[[]byte]
	server := httptest.NewServer(Handler(Sources{Routes: func() []byte { return *config.Load() }}))
	defer server.Close()
	client := NewClient((&net.Dialer{}).DialContext, nil)
	for _, want := range []string{"{1}", "{2}", "", "{2}", "{333}"} {
		body := []byte(want)
		config.Store(&body)
		for range 2 {
			got, err := client.FetchRoutes(t.Context(), strings.TrimPrefix(server.URL, "http://"))
			require.NoError(t, err)
			require.Equal(t, want, string(got))
		}
	}
}

// TestCompressedResponseIsLimited guards against a small response that is large once decoded.
func TestCompressedResponseIsLimited(t *testing.T) {
	var c compressedRoutes
	body := c.of(make([]byte, 64<<20))
	require.Less(t, len(body), 1<<20)
	p := endless.Start(t, endless.Response{First: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%s", len(body), body)})
	_, err := NewClient((&net.Dialer{}).DialContext, nil).FetchRoutes(context.Background(), p.Address)
	var tooLong *ResponseTooLongError
	require.ErrorAs(t, err, &tooLong)
}
