package fault_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/standin/fault"
)

// serveTCP serves an echo of the query behind the switches.
func serveTCP(t *testing.T, s *fault.Switches) string {
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, part := range strings.Split(r.URL.RawQuery, ".") {
			_, _ = io.WriteString(w, part)
			_ = http.NewResponseController(w).Flush()
		}
	})
	server := httptest.NewUnstartedServer(s.Middleware(echo))
	server.Listener = s.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return server.URL
}

func get(t *testing.T, client *http.Client, url string) (string, error) {
	resp, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestCountAndPath(t *testing.T) {
	s := fault.New()
	require.NoError(t, s.Set(fault.Setting{Kind: fault.DropRequest, Path: "/a", Method: "GET", Count: 2}))
	for _, c := range []struct {
		method, path string
		taken        bool
	}{{"GET", "/b", false}, {"POST", "/a", false}, {"GET", "/a/1", true}, {"GET", "/a/2", true}, {"GET", "/a/3", false}} {
		_, ok := s.Consume(fault.DropRequest, c.method, c.path)
		require.Equal(t, c.taken, ok, "%s %s", c.method, c.path)
	}
	require.Empty(t, s.List())
	require.Equal(t, &fault.UnknownKindError{Kind: "other"}, s.Set(fault.Setting{Kind: "other"}))
}

func TestTruncate(t *testing.T) {
	s := fault.New()
	url := serveTCP(t, s)
	require.NoError(t, s.Set(fault.Setting{Kind: fault.Truncate, Count: 1, Bytes: 4}))
	require.NoError(t, s.Set(fault.Setting{Kind: fault.Truncate, Count: 1, Chunks: 2}))
	body, err := get(t, http.DefaultClient, url+"/?abc.def.ghi")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, "abcd", body)
	body, err = get(t, http.DefaultClient, url+"/?abc.def.ghi")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, "abcdef", body)
}

func TestStopRefusesDials(t *testing.T) {
	s := fault.New()
	url := serveTCP(t, s)
	require.NoError(t, s.Set(fault.Setting{Kind: fault.Stop}))
	require.Eventually(t, func() bool {
		_, err := get(t, http.DefaultClient, url+"/?x")
		return err != nil && strings.Contains(err.Error(), "refused")
	}, 10*time.Second, time.Millisecond)
	s.Clear(fault.Stop)
	require.Eventually(t, func() bool {
		body, err := get(t, http.DefaultClient, url+"/?x")
		return err == nil && body == "x"
	}, 10*time.Second, time.Millisecond)
}

func TestSilentConnectionsStaySilentWhileNewOnesWork(t *testing.T) {
	s := fault.New()
	url := serveTCP(t, s)
	old := &http.Client{Transport: &http.Transport{}, Timeout: 200 * time.Millisecond}
	_, err := get(t, old, url+"/?x")
	require.NoError(t, err)
	require.NoError(t, s.Set(fault.Setting{Kind: fault.Silent}))
	_, err = get(t, old, url+"/?x")
	require.ErrorContains(t, err, "Timeout")
	fresh := &http.Client{Transport: &http.Transport{}}
	body, err := get(t, fresh, url+"/?y")
	require.NoError(t, err)
	require.Equal(t, "y", body)
}

// TestCross swaps the answers of two requests and gives a lone one its own.
func TestCross(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fault.New()
		require.NoError(t, s.Set(fault.Setting{Kind: fault.SwapResponses, Count: 3}))
		h := s.Middleware(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, r.URL.RawQuery)
		}))
		ask := func(query string) chan string {
			out := make(chan string, 1)
			go func() {
				w := httptest.NewRecorder()
				h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/?"+query, nil))
				out <- w.Body.String()
			}()
			return out
		}
		a, b := ask("a"), ask("b")
		require.Equal(t, "b", <-a)
		require.Equal(t, "a", <-b)
		require.Equal(t, "c", <-ask("c"))
	})
}

func TestAdmin(t *testing.T) {
	s := fault.New()
	h := s.AdminHandler()
	do := func(method, path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w
	}
	require.Equal(t, http.StatusNoContent, do("PUT", "/faults", `{"kind":"freeze"}`).Code)
	require.Equal(t, http.StatusNoContent, do("PUT", "/faults", `{"kind":"publish_late","delay_ms":1500}`).Code)
	require.Equal(t, http.StatusBadRequest, do("PUT", "/faults", `{"kind":"other"}`).Code)
	require.Equal(t, 1500*time.Millisecond, s.PublishDelay())
	require.Equal(t, http.StatusNoContent, do("DELETE", "/faults/freeze", "").Code)
	require.JSONEq(t, `[{"kind":"publish_late","delay_ms":1500}]`, do("GET", "/faults", "").Body.String())
	require.Equal(t, http.StatusNoContent, do("DELETE", "/faults", "").Code)
	require.Empty(t, s.List())
}
