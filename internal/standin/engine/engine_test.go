package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/directory"
	"github.com/hickorystage/hickorystage/internal/standin/engine"
	"github.com/hickorystage/hickorystage/internal/standin/memnet"
)

// testEngine is an engine on an in-memory network, with a client for it.
type testEngine struct {
	engine *engine.Server
	client *http.Client
	close  func()
}

func newTestEngine(c engine.Config) *testEngine {
	s := engine.New(c)
	l := memnet.Listen("engine")
	srv := &http.Server{Handler: s.Handler()}
	go srv.Serve(s.Faults.Listener(l))
	tr := &http.Transport{DialContext: l.Dial}
	return &testEngine{engine: s, client: &http.Client{Transport: tr}, close: func() {
		tr.CloseIdleConnections()
		srv.Close()
		_ = s.Close()
	}}
}

func (s *testEngine) post(t *testing.T, path, body string) (int, string) {
	resp, err := s.client.Post("http://engine"+path, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(out)
}

func chatBody(extra string) string {
	return fmt.Sprintf(`{"model":"m","max_tokens":9,"messages":[{"role":"user","content":"hi"}]%s}`, extra)
}

// text joins the text of all chunks of a stream.
func text(t *testing.T, stream string) string {
	var b strings.Builder
	for event := range strings.SplitSeq(stream, "\n\n") {
		data, ok := strings.CutPrefix(event, "data: {")
		if !ok {
			continue
		}
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		require.NoError(t, json.Unmarshal([]byte("{"+data), &c))
		b.WriteString(c.Choices[0].Delta.Content)
	}
	return b.String()
}

func TestResumedStreamContinuesTheUninterruptedOne(t *testing.T) {
	for name, cfg := range map[string]engine.Config{"modelled": {}, "paced": {TokenInterval: time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestEngine(cfg)
				defer s.close()
				_, stream := s.post(t, "/v1/chat/completions", chatBody(`,"stream":true`))
				full := text(t, stream)
				require.Contains(t, stream, "data: [DONE]")
				_, plain := s.post(t, "/v1/chat/completions", chatBody(""))
				quotedFull, err := json.Marshal(full)
				require.NoError(t, err)
				require.Contains(t, plain, string(quotedFull))
				prefix := engine.NewCompletion([]byte("user\nhi\n"), 9).Text(4)
				quotedPrefix, err := json.Marshal(prefix)
				require.NoError(t, err)
				_, rest := s.post(t, "/v1/chat/completions", chatBody(`,"stream":true,"resume":{"next_seq":4,"text":`+string(quotedPrefix)+`}`))
				require.Equal(t, full, prefix+text(t, rest))
				status, _ := s.post(t, "/v1/chat/completions", chatBody(`,"stream":true,"resume":{"next_seq":4,"text":"wrong"}`))
				require.Equal(t, http.StatusBadRequest, status)
			})
		})
	}
}

func TestCancelledAttemptGeneratesNoTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestEngine(engine.Config{OutputTokens: 10000})
		defer s.close()
		ctx, cancel := context.WithCancel(t.Context())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://engine/v1/chat/completions",
			strings.NewReader(`{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`))
		require.NoError(t, err)
		resp, err := s.client.Do(req)
		require.NoError(t, err)
		time.AfterFunc(time.Second, cancel)
		_, err = io.Copy(io.Discard, resp.Body)
		require.Error(t, err)
		synctest.Wait()
		generated := s.engine.Stats().Tokens
		require.NotZero(t, generated)
		time.Sleep(time.Minute)
		stats := s.engine.Stats()
		require.Equal(t, generated, stats.Tokens)
		require.Equal(t, 1, stats.Cancelled)
		require.Zero(t, stats.InFlight+stats.TokensAfterCancel)
	})
}

func TestOutdatedFencingTokenIsRefusedIfChecked(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestEngine(engine.Config{ChecksFencing: checks})
			defer s.close()
			for _, n := range []int{5, 4, 5} {
				s.post(t, "/v1/orders", fmt.Sprintf(`{"order":{"load":"m"},"fencing":%d}`, n))
			}
			require.Equal(t, checks, len(s.engine.Orders()) == 1)
		})
	}
}

// TestLeaveFinishesStreams runs an engine and an instance list on loopback
// sockets.
func TestLeaveFinishesStreams(t *testing.T) {
	list := directory.New(0)
	platformServer := httptest.NewServer(list.Handler())
	defer platformServer.Close()
	registrar := &engine.Registrar{URL: platformServer.URL, Client: platformServer.Client()}
	self := platform.Instance{ID: "e", Group: "g", Region: "r", State: platform.InstanceLive}
	s := engine.New(engine.Config{Instance: self, TokenInterval: 5 * time.Millisecond})
	defer s.Close()
	front := httptest.NewServer(s.Handler())
	defer front.Close()
	require.NoError(t, registrar.Put(t.Context(), self))
	resp, err := http.Post(front.URL+"/v1/chat/completions", "application/json", strings.NewReader(chatBody(`,"stream":true`)))
	require.NoError(t, err)
	defer resp.Body.Close()
	left := make(chan error, 1)
	completedAtLeave := 0
	go func() {
		err := s.Leave(context.Background(), registrar, 0)
		completedAtLeave = s.Stats().Completed
		left <- err
	}()
	stream, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Contains(t, string(stream), "data: [DONE]")
	require.NoError(t, <-left)
	require.Empty(t, list.Instances("r"))
	require.Equal(t, 1, completedAtLeave, "the engine left before the stream was complete")
}
