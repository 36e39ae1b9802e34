package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/transport"
)

const testSecret = "a-secret-of-gateways"

func startServer(t *testing.T, secrets ...string) (*httptest.Server, *[]Forward) {
	t.Helper()
	var forwarded []Forward
	server := httptest.NewUnstartedServer(nil)
	address := server.Listener.Addr().String()
	server.Config.Handler = NewServer(NewSigner("server", secrets), address, memory.NewAccount(0), Handlers{
		Exchange: func(m Exchange) Exchange {
			return Exchange{From: GatewayStatus{ID: "server", HeartbeatSeq: m.From.HeartbeatSeq + 1}}
		},
		Snapshot: func() ([]byte, uint64) { return []byte(`{"head":"aGVhZA=="}`), 7 },
		Forward: func(w http.ResponseWriter, r *http.Request, fwd Forward, _ string, body []byte) {
			forwarded = append(forwarded, fwd)
			_, _ = w.Write(append([]byte(r.URL.Path+" "), body...))
		},
	}).Handler()
	server.Start()
	t.Cleanup(server.Close)
	return server, &forwarded
}

func TestExchangeAndSnapshotNeedASharedSecret(t *testing.T) {
	server, _ := startServer(t, testSecret, "the-secret-before-it")
	address := server.Listener.Addr().String()
	ctx := context.Background()
	for name, c := range map[string]struct {
		secret string
		ok     bool
	}{
		"current":  {testSecret, true},
		"previous": {"the-secret-before-it", true},
		"foreign":  {"some-other-secret", false},
	} {
		client := NewClient(NewSigner("client", []string{c.secret}), nil)
		response, err := client.Exchange(ctx, address, Exchange{From: GatewayStatus{ID: "client", HeartbeatSeq: 4}})
		if !c.ok {
			var status *StatusError
			require.True(t, errors.As(err, &status), name)
			require.Equal(t, http.StatusUnauthorized, status.Status, name)
			continue
		}
		require.NoError(t, err, name)
		require.Equal(t, uint64(5), response.From.HeartbeatSeq, name)
		body, err := client.FetchSnapshot(ctx, address, 7)
		require.NoError(t, err, name)
		require.Contains(t, string(body), "aGVhZA==", name)
		_, err = client.FetchSnapshot(ctx, address, 8)
		require.Error(t, err, "a snapshot below the requested revision is not returned")
	}
}

func TestForgedForwardHeaderIsRefused(t *testing.T) {
	server, forwarded := startServer(t, testSecret)
	address := server.Listener.Addr().String()
	signer := NewSigner("client", []string{testSecret})
	req, err := http.NewRequest(http.MethodPost, "http://"+address+PathForward+"/v1/models", strings.NewReader("{}"))
	require.NoError(t, err)
	req.Header.Set(HeaderForward, `{"customer":"a"}`)
	signer.Sign(req, []byte("{}"))
	req.Header.Set(HeaderForward, `{"customer":"b"}`)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	require.Empty(t, *forwarded)

	client := NewClient(signer, nil)
	resp, err = client.Forward(context.Background(), address, http.MethodPost, "/v1/x", nil, Forward{Customer: "a"}, []byte("{}"))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, []Forward{{Customer: "a"}}, *forwarded)
}

func TestForwardDistinguishesNotSentFromLostResponse(t *testing.T) {
	client := NewClient(NewSigner("client", []string{testSecret}), nil)
	_, err := client.Forward(context.Background(), "127.0.0.1:1", http.MethodPost, "/v1/x", nil, Forward{}, nil)
	var notSent *NotSentError
	require.True(t, errors.As(err, &notSent))

	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborting.Close()
	_, err = client.Forward(context.Background(), aborting.Listener.Addr().String(), http.MethodPost, "/v1/x", nil, Forward{}, nil)
	var lost *ResponseLostError
	require.True(t, errors.As(err, &lost))
}

// TestHeadersOfManyLinesAreRefused guards against responses of a peer whose short lines take
// many times their size in memory.
func TestHeadersOfManyLinesAreRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+strings.Repeat("a:\r\n", 1000)+"Content-Length: 2\r\n\r\n[]")
		}
	}()
	_, err = NewClient(NewSigner("gw-1", []string{testSecret}), nil).FetchEndpoints(context.Background(), listener.Addr().String())
	var tooMany *transport.HeaderLinesError
	require.ErrorAs(t, err, &tooMany)
}
