// Package loadpoll is the controller that polls endpoints for load reports. Each
// endpoint is polled by one or two gateways of its region, chosen by rendezvous
// hashing; the other gateways receive the reports through gossip exchanges.
package loadpoll

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/telemetry"
	"github.com/hickorystage/hickorystage/internal/transport"
)

// Limits on polling.
const (
	// maxPollsPerSecond limits the polls of one gateway: the interval grows with
	// the number of endpoints to poll.
	maxPollsPerSecond  = 4
	pollTimeout        = 1 * time.Second
	maxConcurrentPolls = 8
	maxReportBytes     = 16 << 10
	loadPath           = "/v1/load"
	incarnationHeader  = "X-Incarnation"
)

var (
	polls      = telemetry.NewCounter("load_polls", "calls", "load reports requested from endpoints")
	pollErrors = telemetry.NewCounter("load_poll_errors", "calls", "load report requests that failed")
)

// StatusError reports that an endpoint responded to a poll with a status other
// than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("fetch load report: unexpected status %d", e.Status)
}

// Controller polls endpoints for load reports.
type Controller struct {
	board    *blackboard.Board
	view     *membership.View
	interval time.Duration
	client   *http.Client
	// onLeaving is called when a load report says that its endpoint is leaving.
	onLeaving func()
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New returns the controller. interval is the minimum time between two polls of an
// endpoint. onLeaving is called for reports that say that an endpoint is leaving;
// a leaving endpoint is not polled again. A nil dial uses a plain net.Dialer.
func New(board *blackboard.Board, interval time.Duration, onLeaving func(), dial DialFunc) *Controller {
	return &Controller{
		board:     board,
		view:      membership.New(board),
		interval:  interval,
		client:    &http.Client{Timeout: pollTimeout, Transport: transport.NewCheckedTransport(&http.Transport{DialContext: dial, MaxResponseHeaderBytes: transport.MaxResponseHeaderBytes})},
		onLeaving: onLeaving,
	}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "loadpoll" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	defer c.client.CloseIdleConnections()
	for {
		polled := c.pollOnce(ctx)
		select {
		case <-t.Dying():
			return nil
		case <-time.After(c.nextInterval(polled)):
		}
	}
}

func (c *Controller) nextInterval(polled int) time.Duration {
	budget := time.Duration(polled) * time.Second / maxPollsPerSecond
	return max(c.interval, budget)
}

// pollOnce polls each endpoint for which this gateway holds the role and returns
// their number.
func (c *Controller) pollOnce(ctx context.Context) int {
	owned := c.ownedEndpoints(time.Now())
	var group errgroup.Group
	group.SetLimit(maxConcurrentPolls)
	for _, e := range owned {
		group.Go(func() error {
			c.poll(ctx, e)
			return nil
		})
	}
	_ = group.Wait()
	return len(owned)
}

func (c *Controller) ownedEndpoints(now time.Time) []blackboard.EndpointState {
	live := c.view.LiveGatewayIDs(now)
	self := c.board.Self.ID
	var out []blackboard.EndpointState
	c.board.Endpoints.Range(func(id string, e blackboard.EndpointState) bool {
		if !e.Leaving && membership.LoadPoll(id, len(live)).HeldBy(self, live) {
			out = append(out, e)
		}
		return true
	})
	return out
}

func (c *Controller) poll(ctx context.Context, e blackboard.EndpointState) {
	polls.Inc()
	report, incarnation, err := c.fetch(ctx, e.Address)
	if err != nil {
		pollErrors.Inc()
		c.client.CloseIdleConnections()
		return
	}
	accepted := c.view.ApplyLoadReport(e.ID, incarnation, report, true)
	if accepted && report.Leaving {
		c.onLeaving()
	}
}

func (c *Controller) fetch(ctx context.Context, address string) (blackboard.LoadReport, string, error) {
	var report blackboard.LoadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+loadPath, nil)
	if err != nil {
		return report, "", err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return report, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return report, "", &StatusError{Status: resp.StatusCode}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&report); err != nil {
		return report, "", err
	}
	report.TakenAt = time.Now().Add(-time.Duration(report.AgeMillis) * time.Millisecond)
	return report, resp.Header.Get(incarnationHeader), nil
}
