package transport_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/action/sender"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/peerfetch"
	httpplatform "github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/relay"
	"github.com/hickorystage/hickorystage/internal/store"
	"github.com/hickorystage/hickorystage/platform"
)

const testAttemptID = "attempt"

// rawServer answers each request with the same bytes once it has read its header.
type rawServer struct {
	address  string
	received atomic.Int64
}

// startRawServer starts a rawServer that resets each connection after the response if isReset
// is set; otherwise it reads the request first, and ends the connection in an orderly way.
func startRawServer(t *testing.T, response string, isReset bool) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &rawServer{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn), response, isReset)
		}
	}()
	return s
}

func (s *rawServer) serve(conn *net.TCPConn, response string, isReset bool) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReaderSize(conn, 512))
	if err != nil {
		return
	}
	if !strings.HasPrefix(r.URL.Path, relay.CancelPath) {
		// The service calls' client cancels a request that failed.
		s.received.Add(1)
	}
	if !isReset {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	_, _ = io.WriteString(conn, response)
	if isReset {
		_ = conn.SetLinger(0)
	}
}

// responseReader is a client of the product that reads a response with the given body.
type responseReader struct {
	body string
	// call sends a request with an upload of the given size, if the client sends one.
	call func(ctx context.Context, address string, upload []byte) error
}

type fixedPicker struct{ endpoint sender.Endpoint }

func (p fixedPicker) Pick(context.Context, action.DispatchRequest, []string) (sender.Endpoint, error) {
	return p.endpoint, nil
}

// responseReaders returns the clients of endpoints, other gateways and the platform that have
// connections of their own, by name. internal/edge tests those of the route half.
func responseReaders(t *testing.T) map[string]responseReader {
	dial := (&net.Dialer{}).DialContext
	calls := relay.New(relay.Settings{Dial: dial, NewAttemptID: func() string { return testAttemptID }, MaxAttempts: 1})
	t.Cleanup(func() { require.NoError(t, calls.Close()) })
	peers := peer.NewClient(peer.NewSigner("gw", []string{"secret"}), nil)
	return map[string]responseReader{
		"actions": {`ok`, func(ctx context.Context, address string, upload []byte) error {
			s := sender.New(fixedPicker{sender.Endpoint{ID: "e", Address: address, Method: http.MethodPost, Path: "/"}}, sender.Limits{}, nil)
			_, err := s.Dispatch(ctx, action.DispatchRequest{
				AttemptID: testAttemptID, Body: upload, Timeout: 5 * time.Second, Commit: func() error { return nil },
			})
			var maybeSent *action.MaybeSentError
			if err != nil && !errors.As(err, &maybeSent) {
				t.Errorf("the action may have run: %v", err)
			}
			return err
		}},
		"service calls": {`ok`, func(ctx context.Context, address string, upload []byte) error {
			pick := func(_ context.Context, tried map[string]bool) (relay.Target, error) {
				if len(tried) > 0 {
					return relay.Target{}, errors.New("no endpoint is left")
				}
				return relay.Target{ID: "e", Address: address}, nil
			}
			_, _, err := calls.Call(ctx, relay.ServiceRequest{RequestID: "r", Method: http.MethodPost, Path: "/", Body: upload}, pick)
			return err
		}},
		"forwards": {`ok`, func(ctx context.Context, address string, upload []byte) error {
			resp, err := peers.Forward(ctx, address, http.MethodPost, "/", nil, peer.Forward{}, upload)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			return err
		}},
		"configuration of the chat half": {`config`, func(ctx context.Context, address string, _ []byte) error {
			_, err := peers.FetchSnapshot(ctx, address, 1)
			return err
		}},
		"configuration of the route half": {`config`, func(ctx context.Context, address string, _ []byte) error {
			_, err := peerfetch.NewClient(dial, nil).FetchRoutes(ctx, address)
			return err
		}},
		"store of the chat half": {`{"key":"k","version":1}`, func(ctx context.Context, address string, upload []byte) error {
			s := httpplatform.NewHTTPStore("http://"+address, httpplatform.Options{})
			defer s.Close()
			_, err := s.Put(ctx, "k", upload, httpplatform.PutOptions{})
			var unavailable *httpplatform.UnavailableError
			if errors.As(err, &unavailable) && !unavailable.MaybeApplied {
				t.Errorf("the write may have been applied: %v", err)
			}
			return err
		}},
		"store of the route half": {`{"revision":1}`, func(ctx context.Context, address string, upload []byte) error {
			s := platform.NewStore(address, platform.StoreOptions{Dial: dial})
			_, err := s.Commit(ctx, store.Txn{Writes: []store.Write{{Key: "k", Value: upload}}})
			var unavailable *store.UnavailableError
			if errors.As(err, &unavailable) && !unavailable.MaybeApplied {
				t.Errorf("the write may have been applied: %v", err)
			}
			return err
		}},
	}
}

// TestClientsRefuseMalformedResponses guards against broken responses that are taken for a
// result: an action that counts as run, a write as refused, a version of the configuration.
func TestClientsRefuseMalformedResponses(t *testing.T) {
	for name, reader := range responseReaders(t) {
		for head, isValid := range map[string]bool{
			"HTTP/1.1 200 OK\r\n": true,
			"HTTP/1.1 000 OK\r\n": false, "HTTP/1.1 042 OK\r\n": false, "HTTP/1.1 600 OK\r\n": false,
			"HTTP/1.1 200 OK\r\nContent-Length : 1\r\n": false, "HTTP/1.1 200 OK\r\nX Y: 1\r\n": false,
		} {
			t.Run(name+"/"+strings.TrimSpace(head), func(t *testing.T) {
				s := startRawServer(t, fmt.Sprintf("%sX-Attempt-Id: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", head, testAttemptID, len(reader.body), reader.body), false)
				err := reader.call(t.Context(), s.address, []byte("x"))
				require.Equal(t, isValid, err == nil, "%v", err)
				require.EqualValues(t, 1, s.received.Load())
			})
		}
	}
}

// TestClientsRefusePartsOfResetResponses guards against a response without a length that is
// taken for whole though its connection was reset during the upload.
func TestClientsRefusePartsOfResetResponses(t *testing.T) {
	const sideBySide = 24
	upload := []byte(strings.Repeat("x", 4<<20))
	for name, reader := range responseReaders(t) {
		t.Run(name, func(t *testing.T) {
			s := startRawServer(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n\r\n%s", testAttemptID, reader.body), true)
			var whole atomic.Int64
			var wg sync.WaitGroup
			for range sideBySide {
				wg.Go(func() {
					if reader.call(t.Context(), s.address, upload) == nil {
						whole.Add(1)
					}
				})
			}
			wg.Wait()
			require.NotZero(t, s.received.Load())
			require.Zero(t, whole.Load(), "of %d", s.received.Load())
		})
	}
}

// TestHTTPTransportsAreChecked guards against a client whose connections don't check responses.
func TestHTTPTransportsAreChecked(t *testing.T) {
	isExempt := func(path string) bool {
		// Stand-ins and tests of processes, which are not shipped, and the mechanism itself.
		return strings.HasSuffix(path, "_test.go") || strings.Contains(path, "/standin/") || strings.Contains(path, "/processtest/") ||
			strings.Contains(path, "/platformtest/") || strings.Contains(path, "/transport/")
	}
	for _, root := range []string{"..", "../../platform", "../../cmd/hickorystage"} {
		require.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || isExempt(path) {
				return err
			}
			source, err := os.ReadFile(path)
			text := string(source)
			require.Equal(t, strings.Count(text, "http.Transport{"), strings.Count(text, "transport.NewCheckedTransport(&http.Transport{"), path)
			for _, other := range []string{"http.DefaultTransport", "http.ReadResponse(", "http.Get(", "http.Post("} {
				require.NotContains(t, text, other, path)
			}
			return err
		}))
	}
}
