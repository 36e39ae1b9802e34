package peerfetch

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/standin/endless"
	"github.com/hickorystage/hickorystage/internal/transport"
)

// TestEndlessResponsesOfPeers guards against a peer whose response never ends, and against one
// that is cut off and taken for whole.
func TestEndlessResponsesOfPeers(t *testing.T) {
	// maxTaken is what the limit of a response and the buffers of the sockets hold.
	const maxTaken = maxResponseBytes + 16<<20
	for name, response := range endless.Responses() {
		t.Run(name, func(t *testing.T) {
			client := NewClient((&net.Dialer{}).DialContext, nil)
			for path, fetch := range map[string]func(address string) error{
				pathRoutes: func(address string) error {
					_, err := client.FetchRoutes(context.Background(), address)
					return err
				},
				pathEndpoints: func(address string) error {
					_, err := client.FetchEndpoints(context.Background(), address)
					return err
				},
				pathStatus: func(address string) error {
					_, err := client.FetchStoreStatus(context.Background(), address)
					return err
				},
			} {
				p := endless.Start(t, response)
				require.Error(t, fetch(p.Address), path)
				p.RequireClosed(t, maxTaken)
			}
		})
	}
}

// TestFetchedHeadersOfManyLinesAreRefused guards against responses of a peer whose short lines
// take many times their size in memory.
func TestFetchedHeadersOfManyLinesAreRefused(t *testing.T) {
	p := endless.Start(t, endless.Response{First: "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 1000) + "Content-Length: 2\r\n\r\n[]"})
	_, err := NewClient((&net.Dialer{}).DialContext, nil).FetchEndpoints(context.Background(), p.Address)
	var tooMany *transport.HeaderLinesError
	require.ErrorAs(t, err, &tooMany)
}

// TestTooLongResponseIsNotTakenForWhole guards against a configuration that is cut off at the
// limit and still parses.
func TestTooLongResponseIsNotTakenForWhole(t *testing.T) {
	p := endless.Start(t, endless.Response{First: "HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n{}" + strings.Repeat(" ", 5000000-2)})
	_, err := NewClient((&net.Dialer{}).DialContext, nil).FetchRoutes(context.Background(), p.Address)
	var tooLong *ResponseTooLongError
	require.ErrorAs(t, err, &tooLong)
}

// TestFetchAwaitsWhatThisProcessReadsLate guards against a configuration that is never in force
// at a gateway that is behind its sockets, since each fetch is given up before its response,
// which has arrived, is read.
func TestFetchAwaitsWhatThisProcessReadsLate(t *testing.T) {
	const (
		lag  = 600 * time.Millisecond
		late = fetchSilence + lag
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(late):
			_, _ = w.Write([]byte("{}"))
		case <-r.Context().Done():
		}
	})}
	defer s.Close()
	go func() { _ = s.Serve(listener) }()
	for behind, wantErr := range map[time.Duration]bool{0: true, lag: false} {
		client := NewClient((&net.Dialer{}).DialContext, func(time.Time) time.Duration { return behind })
		_, err := client.FetchRoutes(t.Context(), listener.Addr().String())
		require.Equal(t, wantErr, err != nil, "behind by %v: %v", behind, err)
	}
}
