package edgeserver_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/platform/platformtest"
)

// slowBody sends its content so long after the header of the request.
type slowBody struct {
	delay time.Duration
	sent  bool
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.sent {
		return 0, io.EOF
	}
	time.Sleep(b.delay)
	b.sent = true
	return copy(p, "x"), nil
}

// post sends a request whose body arrives late, and returns the status, 0 if there was no
// response.
func (g *gateway) post(id string, delay time.Duration) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.site.CallerAddress+"/q/x", &slowBody{delay: delay})
	if err != nil {
		return 0
	}
	req.Host, req.ContentLength = "a.example", 1
	platformtest.SetAttemptID(req.Header, id)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestStopAnswersRequestsThatItCannotFinish stops a gateway while requests that must not be
// repeated arrive late in its grace period, or run beyond it. The late ones aren't sent to
// an endpoint; all are answered.
func TestStopAnswersRequestsThatItCannotFinish(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	e := s.startEndpoint("i-n", "app", "north-a")
	s.routeKind, s.routeTimeout = "non_idempotent", time.Minute
	s.setRoute("/q/", "app")
	site := s.newSite("n1", "north-a")
	site.Limits.ShutdownGrace = 6 * time.Second
	s.gateways["n1"] = &gateway{site: site}
	g := s.startGateway("n1", "north-a")
	s.eventually(startupLimit, "serves", func() bool { return g.ready() && g.call("/q/x") == http.StatusOK })
	e.SetBehaviour(30*time.Second, 0, 0)
	began := time.Now()
	statuses := make(chan int, 20)
	send := func(id string, delay time.Duration) { go func() { statuses <- g.post(id, delay) }() }
	for i := range 10 {
		send(fmt.Sprint("late-", i), 4500*time.Millisecond)
	}
	send("long", 0)
	time.Sleep(500 * time.Millisecond)
	g.stop()
	refused := 0
	for range 11 {
		switch status := <-statuses; status {
		case http.StatusServiceUnavailable:
			refused++
		case http.StatusBadGateway, http.StatusGatewayTimeout:
		default:
			assert.Fail(t, "not answered", "status %d after %v", status, time.Since(began))
		}
	}
	require.Equal(t, 10, refused)
	for _, execution := range e.Executions() {
		require.NotContains(t, execution.AttemptID, "late")
	}
	require.NoError(t, <-g.done)
	require.Less(t, time.Since(began), 500*time.Millisecond+site.Limits.ShutdownGrace)
	g.done <- nil
}
