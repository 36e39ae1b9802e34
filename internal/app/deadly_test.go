package app

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/engine"
)

const deadlyPrompt = "a prompt that ends engines"

// mortalEngines are engines that end when they begin to run deadlyPrompt, and start again
// some seconds later under another incarnation.
type mortalEngines struct {
	d     *testDeployment
	mu    sync.Mutex
	ended int
}

// start starts an engine.
func (m *mortalEngines) start(region, id, address string, incarnation int) {
	e := engine.New(engine.Config{
		Instance:      platform.Instance{ID: id, Incarnation: fmt.Sprint(incarnation), Region: region},
		TokenInterval: 20 * time.Millisecond, FirstTokenDelay: 50 * time.Millisecond, OutputTokens: 20,
	})
	handler, ln := e.Handler(), must(m.d.net.Host(region, address).Listen(address))
	s := &http.Server{}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !bytes.Contains(body, []byte(deadlyPrompt)) {
			r.Body = io.NopCloser(bytes.NewReader(body))
			handler.ServeHTTP(w, r)
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.ended++
		_ = s.Close()
		m.d.net.Reset(address)
		time.AfterFunc(3*time.Second, func() { m.start(region, id, address, incarnation+1) })
	})
	m.d.directory.PutInstance(platform.Instance{ID: id, Incarnation: fmt.Sprint(incarnation), Group: "assistant", Region: region, Address: address, State: platform.InstanceLive})
	go func() {
		_ = s.Serve(ln)
		_ = e.Close()
	}()
	m.d.addCleanup(func() { _ = s.Close() })
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func (m *mortalEngines) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}

// TestChatThatEndsEnginesIsHeld guards against a chat that is sent again and again, at any
// gateway, and ends engine after engine.
func TestChatThatEndsEnginesIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startStandardDeployment(t)
		defer d.closeAndCheckMemory()
		m := &mortalEngines{d: d}
		for i := range 6 {
			m.start(allRegions[i%3], fmt.Sprint("mortal-", i), fmt.Sprintf("10.3.0.%d:80", i), 1)
		}
		for i, region := range allRegions {
			d.directory.DeleteInstance("engine-" + region)
			d.kill(fmt.Sprintf("10.1.0.%d:80", i+1))
		}
		time.Sleep(10 * time.Second)
		gateways := []string{"gw1-svealand", "gw2-svealand", "gw3-norrland", "gw4-norrland", "gw5-gotaland", "gw6-gotaland"}
		const contactBound = 5 * time.Second
		var heldAt time.Time
		endedWhenKnown := 0
		for i := range 60 {
			c := d.client(d.gateway(gateways[i%len(gateways)]), "demo-key-svealand")
			a := d.chat(c, deadlyPrompt)
			require.GreaterOrEqual(t, a.Status, http.StatusInternalServerError)
			if m.count() >= 3 && heldAt.IsZero() {
				heldAt = time.Now()
			}
			if endedWhenKnown == 0 && !heldAt.IsZero() && time.Since(heldAt) > contactBound {
				endedWhenKnown = m.count()
			}
			time.Sleep(500 * time.Millisecond)
		}
		t.Logf("%d engines ended, %d when all gateways could know", m.count(), endedWhenKnown)
		require.False(t, heldAt.IsZero())
		require.LessOrEqual(t, m.count()-endedWhenKnown, 3, "a few may be sent again")
		for _, id := range gateways {
			a := d.chat(d.client(d.gateway(id), "demo-key-svealand"), deadlyPrompt)
			require.Equal(t, failure.CodeRequestHeld, refusalOf(t, a).Code)
			require.Equal(t, failure.NotRun, refusalOf(t, a).Outcome)
			require.Equal(t, http.StatusOK, d.chat(d.client(d.gateway(id), "demo-key-svealand"), "a sound prompt").Status)
		}
	})
}
