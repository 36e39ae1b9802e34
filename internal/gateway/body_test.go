package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/memory"
)

const bodyTestLimit = 1 << 20

// startBodyServer starts the callers' listener of a gateway with a memory limit. Its requests
// end after their bodies have been read, since it has no endpoints.
func startBodyServer(t *testing.T) (*httptest.Server, *memory.Account) {
	t.Helper()
	in, diagnostics := intent.Parse([]intent.File{{Name: "10.yaml", Content: []byte(
		"groups:\n  g: {kind: engine, regions: [r]}\nmodels:\n  m: {groups: [g], max_prompt_tokens: 100, max_output_tokens: 100}\n" +
			"regions:\n  r: {data_centres: [r-1]}\ncustomers:\n  " + testCustomer + ": {key_hashes: [" + intent.HashAPIKey(testKey) + "], home: r, residency: [r]}\n")}})
	require.False(t, diagnostics.HasFaults(), "%v", diagnostics)
	board := blackboard.New(blackboard.Self{ID: "gw", Region: "r"})
	board.Lifecycle.Set(blackboard.Serving)
	board.Intent.Set(blackboard.IntentState{Revision: 1, Intent: in})
	account := memory.NewAccount(bodyTestLimit)
	g := New(Config{Board: board, Memory: account, MaxBodyBytes: bodyTestLimit, BodyTimeout: time.Minute, Logger: log.New(io.Discard)})
	server := httptest.NewServer(g.CallerHandler())
	t.Cleanup(server.Close)
	return server, account
}

// stalledRequest sends the head of a request with a body and a part of that.
func stalledRequest(t *testing.T, server *httptest.Server, path string, length, sent int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		path, testKey, length, strings.Repeat("x", sent))
	require.NoError(t, err)
	return conn
}

// readRefusal reads the response to a request that must have been refused for its memory.
func readRefusal(t *testing.T, resp *http.Response) ErrorDetail {
	t.Helper()
	defer resp.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "1", resp.Header.Get("Retry-After"))
	var body ErrorBody
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&body))
	require.Equal(t, failure.CodeOverloaded, body.Error.Code)
	return body.Error
}

func waitForBodies(t *testing.T, a *memory.Account, want int64) {
	t.Helper()
	require.Eventually(t, func() bool { return a.Usage().Body == want }, 10*time.Second, time.Millisecond)
}

// TestBodiesWithoutMemoryAreRefused guards against bodies that are read without a bound on
// their sum, and checks that small requests get through and that nothing stays reserved.
func TestBodiesWithoutMemoryAreRefused(t *testing.T) {
	server, account := startBodyServer(t)
	conn := stalledRequest(t, server, "/v1/chat/completions", 700_000, 10)
	waitForBodies(t, account, 700_000)
	send := func(body string) *http.Response {
		req, err := http.NewRequest(http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		return resp
	}
	require.Equal(t, failure.NotRun, readRefusal(t, send(strings.Repeat("x", 700_000))).Outcome)
	resp := send("no JSON")
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
	require.NoError(t, conn.Close())
	waitForBodies(t, account, 0)
	require.Zero(t, account.Usage().InUse)
}

// TestEvictedBodyIsRefused guards against an empty 200 for a body that was evicted: net/http
// takes its interrupted read for a caller that has left. What is known of an action under
// its key is not known then.
func TestEvictedBodyIsRefused(t *testing.T) {
	for path, want := range map[string]failure.Outcome{
		"/v1/chat/completions": failure.NotRun, "/v1/actions/a/b": failure.Unknown,
	} {
		server, account := startBodyServer(t)
		conn := stalledRequest(t, server, path, bodyTestLimit, 10)
		waitForBodies(t, account, bodyTestLimit)
		other := stalledRequest(t, server, path, 1000, 10)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.True(t, resp.Close)
		require.Equal(t, want, readRefusal(t, resp).Outcome)
		require.NoError(t, other.Close())
		waitForBodies(t, account, 0)
	}
}

// TestCopiesOfAChatAreCharged checks that a chat whose body fits and whose copies don't is
// refused before it is parsed.
func TestCopiesOfAChatAreCharged(t *testing.T) {
	server, account := startBodyServer(t)
	req, err := http.NewRequest(http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(strings.Repeat("x", bodyTestLimit/2)))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.Equal(t, failure.NotRun, readRefusal(t, resp).Outcome)
	waitForBodies(t, account, 0)
}

// TestMemoryLinesAreLimited guards against a crowd of refused requests that fills the log.
func TestMemoryLinesAreLimited(t *testing.T) {
	l, now := memoryLog{interval: time.Second}, time.Now()
	written, leftOut := 0, 0
	for i := range 50 {
		if n, ok := l.next(now.Add(time.Duration(i) * 100 * time.Millisecond)); ok {
			written++
			leftOut += n
		}
	}
	require.Equal(t, []int{5, 36}, []int{written, leftOut})
}
