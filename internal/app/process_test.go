//go:build !race

package app_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/gateway"
	"github.com/hickorystage/hickorystage/internal/processtest"
	"github.com/hickorystage/hickorystage/internal/standin/caller"
	"github.com/hickorystage/hickorystage/internal/standin/fault"
	"github.com/hickorystage/hickorystage/internal/standin/service"
)

// processDeployment is a deployment of separate processes on the loopback
// interface.
type processDeployment struct{ *processtest.ChatDeployment }

var processRegions = []string{"svealand", "norrland", "gotaland"}

func startProcesses(t *testing.T) *processDeployment {
	d := &processDeployment{processtest.StartChatPlatform(t)}
	for _, region := range processRegions {
		for i := range 2 {
			d.StartEngine(fmt.Sprintf("engine-%s-%d", region, i+1), region)
		}
		d.StartBooking("booking-"+region, region)
	}
	for _, region := range processRegions {
		for i := range 2 {
			d.StartGateway(fmt.Sprintf("gw-%s-%d", region, i+1), region)
		}
	}
	for _, region := range processRegions {
		for i := range 2 {
			d.Await("the gateway serves", func() bool { return d.IsServing(fmt.Sprintf("gw-%s-%d", region, i+1), 3, 1) })
		}
	}
	return d
}

func (d *processDeployment) entries(c *caller.Client) gateway.EntriesResponse {
	d.T.Helper()
	a, err := c.Do(context.Background(), http.MethodGet, "/v1/entries", nil, nil)
	require.NoError(d.T, err)
	var out gateway.EntriesResponse
	require.NoError(d.T, json.Unmarshal(a.Body, &out), string(a.Body))
	return out
}

func (d *processDeployment) book(c *caller.Client, key string) *caller.Response {
	d.T.Helper()
	a, err := c.Do(context.Background(), http.MethodPost, "/v1/actions/booking/collect", map[string]string{gateway.HeaderIdempotencyKey: key}, map[string]string{"reference": "x"})
	require.NoError(d.T, err)
	return a
}

func (d *processDeployment) executions() int {
	d.T.Helper()
	total := 0
	for _, region := range processRegions {
		resp, err := http.Get("http://" + d.Addr("booking-"+region+"-admin") + "/executions")
		require.NoError(d.T, err)
		raw, err := io.ReadAll(resp.Body)
		require.NoError(d.T, err)
		_ = resp.Body.Close()
		var counts service.ExecutionCounts
		require.NoError(d.T, json.Unmarshal(raw, &counts))
		total += counts.Total
	}
	return total
}

func chatBody(tokens int) caller.ChatBody {
	return caller.ChatBody{Model: "quilt-care", Messages: []caller.Message{{Role: "user", Content: "processes"}}, MaxTokens: tokens}
}

// streamFromAnyEntry sends a chat to the entry gateways in turn until one serves it.
// It returns an error if a response is cut off or no entry gateway serves the chat.
func streamFromAnyEntry(c *caller.Client, entries []gateway.EntryGateway, tokens int) error {
	var lastErr error
	for _, e := range entries {
		c.Address = e.Address
		s, err := c.Stream(context.Background(), chatBody(tokens))
		var status *caller.StatusError
		var dial *net.OpError
		switch {
		case err == nil && s.Chunks == tokens:
			return nil
		case err == nil:
			return &caller.IncompleteStreamError{Event: s.Text}
		case errors.As(err, &status) && strings.Contains(status.Body, `"outcome":"not_run"`):
		case errors.As(err, &dial) && dial.Op == "dial":
		default:
			return err
		}
		lastErr = err
	}
	return lastErr
}

// TestProcesses runs the whole system as separate processes on the loopback
// interface, and kills, pauses and stops them. The subtests depend on each other:
// each starts from the state that the one before leaves, so the first failure ends
// the test.
func TestProcesses(t *testing.T) {
	d := startProcesses(t)
	for _, subtest := range []struct {
		name string
		run  func(t *testing.T)
	}{
		{"configuration reaches all", d.testConfigurationRollout},
		{"store killed", d.testStoreKilled},
		{"engine paused under a stream", d.testEnginePaused},
		{"connections cut and silent", d.testConnectionsCut},
		{"owner killed", d.testOwnerKilled},
		{"gateways stopped under load", d.testStopUnderLoad},
	} {
		if !t.Run(subtest.name, func(t *testing.T) {
			d.T = t
			subtest.run(t)
		}) {
			return
		}
	}
}

func (d *processDeployment) testConfigurationRollout(t *testing.T) {
	require.NoError(t, os.WriteFile(filepath.Join(d.ConfigDir(), "70-test.yaml"), []byte("routing: {retry_ratio: 0.2}\n"), 0o600))
	d.Run("hickorystage", "config", "apply", d.ConfigDir(), "--author", "test")
	for _, region := range processRegions {
		for i := range 2 {
			d.Await("every gateway has the accepted revision in force", func() bool {
				s, err := d.Status(fmt.Sprintf("gw-%s-%d", region, i+1))
				return err == nil && s.Revision == 2
			})
		}
	}
}

func (d *processDeployment) testStoreKilled(t *testing.T) {
	c := d.Client("gw-svealand-1")
	before := d.executions()
	d.Processes["store"].Signal(t, syscall.SIGKILL)
	<-d.Processes["store"].Ended
	tickets := d.entries(c).Tickets
	for i := range 3 {
		a := d.book(c, tickets.Key(tickets.First+uint64(i)))
		require.Equal(t, http.StatusOK, a.Status, string(a.Body))
	}
	require.Equal(t, before+3, d.executions())
	s, err := c.Stream(context.Background(), chatBody(10))
	require.NoError(t, err)
	require.Equal(t, 10, s.Chunks)
}

// testEnginePaused pauses the engine that serves a stream with SIGSTOP.
func (d *processDeployment) testEnginePaused(t *testing.T) {
	c := d.Client("gw-svealand-1")
	want, err := c.Stream(context.Background(), chatBody(100))
	require.NoError(t, err)
	type result struct {
		stream *caller.StreamResponse
		err    error
	}
	done := make(chan result, 1)
	go func() {
		s, err := c.Stream(context.Background(), chatBody(100))
		done <- result{s, err}
	}()
	paused := ""
	d.Await("an engine serves the stream", func() bool {
		for i := range 2 {
			id := fmt.Sprintf("engine-svealand-%d", i+1)
			var work struct {
				InFlight int `json:"in_flight"`
			}
			resp, err := http.Get("http://" + d.Addr(id+"-admin") + "/work")
			require.NoError(t, err)
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&work))
			_ = resp.Body.Close()
			if work.InFlight > 0 {
				paused = id
			}
		}
		return paused != ""
	})
	d.Processes[paused].Signal(t, syscall.SIGSTOP)
	got := <-done
	d.Processes[paused].Signal(t, syscall.SIGCONT)
	require.NoError(t, got.err, "resumed at another engine")
	require.Equal(t, want.Text, got.stream.Text, "no token is lost or repeated")
}

// setFault sets a fault at a stand-in.
func (d *processDeployment) setFault(id string, s fault.Setting) {
	d.T.Helper()
	raw, err := json.Marshal(s)
	require.NoError(d.T, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+d.Addr(id+"-admin")+"/faults", bytes.NewReader(raw))
	require.NoError(d.T, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(d.T, err)
	require.NoError(d.T, resp.Body.Close())
	require.Less(d.T, resp.StatusCode, 300)
}

// testConnectionsCut truncates streams of both engines of a region, makes the open
// connections silent, and drops the response of a booking that ran.
func (d *processDeployment) testConnectionsCut(t *testing.T) {
	c := d.Client("gw-svealand-1")
	want, err := c.Stream(context.Background(), chatBody(40))
	require.NoError(t, err)
	for _, id := range []string{"engine-svealand-1", "engine-svealand-2"} {
		d.setFault(id, fault.Setting{Kind: fault.Truncate, Path: "/v1/chat", Chunks: 5, Count: 1})
	}
	got, err := c.Stream(context.Background(), chatBody(40))
	require.NoError(t, err, "resumed after each cut")
	require.Equal(t, want.Text, got.Text, "no token is lost or repeated")
	for _, id := range []string{"engine-svealand-1", "engine-svealand-2"} {
		d.setFault(id, fault.Setting{Kind: fault.Silent})
	}
	got, err = c.Stream(context.Background(), chatBody(40))
	require.NoError(t, err, "new connections work")
	require.Equal(t, want.Text, got.Text)

	before := d.executions()
	for _, region := range processRegions {
		d.setFault("booking-"+region, fault.Setting{Kind: fault.DropResponse, Path: "/bookings", Count: 1})
	}
	tickets := d.entries(c).Tickets
	a := d.book(c, tickets.Key(tickets.First))
	var body gateway.ErrorBody
	require.NoError(t, json.Unmarshal(a.Body, &body), string(a.Body))
	require.Equal(t, failure.Unknown, body.Error.Outcome, "the booking ran and its response is lost")
	require.Equal(t, before+1, d.executions())
	_ = d.book(c, tickets.Key(tickets.First))
	require.Equal(t, before+1, d.executions(), "a retry does not run the booking again")
}

// testOwnerKilled kills the owner of a ticket with SIGKILL after a booking.
func (d *processDeployment) testOwnerKilled(t *testing.T) {
	ownerClient, peerClient := d.Client("gw-svealand-1"), d.Client("gw-svealand-2")
	entries := d.entries(ownerClient)
	key := entries.Tickets.Key(entries.Tickets.First)
	before := d.executions()
	require.Equal(t, http.StatusOK, d.book(ownerClient, key).Status)
	d.Processes["gw-svealand-1"].Signal(t, syscall.SIGKILL)
	<-d.Processes["gw-svealand-1"].Ended
	a := d.book(peerClient, key)
	var body gateway.ErrorBody
	require.NoError(t, json.Unmarshal(a.Body, &body), string(a.Body))
	require.Equal(t, failure.Unknown, body.Error.Outcome, "the outcome is never not_run")
	require.Equal(t, before+1, d.executions())
	require.NoError(t, streamFromAnyEntry(d.Client("gw-svealand-1"), entries.Entries, 10), "the caller goes on to the next entry")
	peerTickets := d.entries(peerClient).Tickets
	require.Equal(t, http.StatusOK, d.book(peerClient, peerTickets.Key(peerTickets.First)).Status)
	require.Equal(t, before+2, d.executions())
}

// testStopUnderLoad shuts gateways down one after the other with SIGTERM while
// callers stream.
func (d *processDeployment) testStopUnderLoad(t *testing.T) {
	entries := d.entries(d.Client("gw-svealand-2")).Entries
	stop := make(chan struct{})
	var callers sync.WaitGroup
	failed := make(chan error, 4)
	for range 4 {
		callers.Go(func() {
			c := d.Client("gw-svealand-2")
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := streamFromAnyEntry(c, entries, 300); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	for _, id := range []string{"gw-svealand-2", "gw-norrland-1"} {
		p := d.Processes[id]
		p.Signal(t, syscall.SIGTERM)
		<-p.Ended
		require.Zero(t, p.Cmd.ProcessState.ExitCode(), "%s cut off no request", id)
	}
	close(stop)
	callers.Wait()
	close(failed)
	for err := range failed {
		require.NoError(t, err)
	}
}
