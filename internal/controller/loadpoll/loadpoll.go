// Package loadpoll is the controller that asks endpoints for their load. Each
// endpoint is asked by few gateways of its region, chosen by rendezvous
// hashing; the others hear of it by the exchange of soft state.
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
)

// Bounds on polling.
const (
	// maxPollsPerSecond bounds what one gateway spends on polling; with more
	// endpoints to ask the interval grows.
	maxPollsPerSecond = 4
	pollTimeout       = 1 * time.Second
	pollsAtOnce       = 8
	maxReportBytes    = 16 << 10
	loadPath          = "/v1/load"
	incarnationHeader = "X-Incarnation"
)

var (
	polls      = telemetry.NewCounter("load_polls", "calls", "load reports asked of endpoints")
	pollErrors = telemetry.NewCounter("load_poll_errors", "calls", "load reports that did not come")
)

// StatusError says that an endpoint answered a poll with an unexpected status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("load report: status %d", e.Status) }

// Controller asks endpoints for their load.
type Controller struct {
	board    *blackboard.Board
	view     *membership.View
	interval time.Duration
	client   *http.Client
	// onLeaving is called when a report shows that an endpoint is leaving.
	onLeaving func()
}

// DialFunc makes a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// New returns the controller. onLeaving is called at the first report that
// says that an endpoint is leaving. A nil dial dials TCP.
func New(board *blackboard.Board, interval time.Duration, onLeaving func(), dial DialFunc) *Controller {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Controller{
		board:     board,
		view:      membership.New(board),
		interval:  interval,
		client:    &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DialContext: dial}},
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
		asked := c.pollOnce(ctx)
		select {
		case <-t.Dying():
			return nil
		case <-time.After(c.pause(asked)):
		}
	}
}

func (c *Controller) pause(asked int) time.Duration {
	budget := time.Duration(asked) * time.Second / maxPollsPerSecond
	return max(c.interval, budget)
}

// pollOnce asks each endpoint that this gateway owns and returns their number.
func (c *Controller) pollOnce(ctx context.Context) int {
	owned := c.owned(time.Now())
	var group errgroup.Group
	group.SetLimit(pollsAtOnce)
	for _, e := range owned {
		group.Go(func() error {
			c.poll(ctx, e)
			return nil
		})
	}
	_ = group.Wait()
	return len(owned)
}

func (c *Controller) owned(now time.Time) []blackboard.EndpointState {
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
	taken := c.view.ApplyLoadReport(e.ID, incarnation, report, true)
	if taken && report.Leaving {
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
