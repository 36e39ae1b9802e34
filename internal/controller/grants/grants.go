// Package grants is the controller with which the gateways of a large region
// request the admission of requests to endpoints from each other. Each endpoint
// has one gateway as its coordinator, which admits the region's requests to it
// and therefore knows its queue without delay. Requests and responses are JSON
// datagrams. They are never retransmitted: a gateway that gets no response asks
// another coordinator or decides by itself.
//
// The gateways of a region of any size also ask coordinators for permits to send requests
// to endpoints that name a limit. A gateway that gets no response sends none.
//
// The gateways of all regions ask the coordinators of client accounts for credit. These
// asks go out ahead of the requests, so nobody waits for a response.
//
// Gateways tell each other which software versions began streams, and ask for it.
//
// Where the settings ask for strict revocation, they also ask each other how old the proof
// is that their configuration is current.
package grants

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/datagram"
	"github.com/hickorystage/hickorystage/internal/lenient"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

const (
	// responseTimeout is how long to wait for a response. It covers a round
	// trip within a region and a scheduling delay on a small, busy machine.
	responseTimeout = 60 * time.Millisecond
	// unresponsiveBackoff is how long an unresponsive gateway gets no further
	// requests: about the time it takes to detect a silent gateway.
	unresponsiveBackoff = time.Second
	// maxDatagramBytes is the maximum size of a datagram.
	maxDatagramBytes = 8 << 10
)

var (
	requestsSent     = telemetry.NewCounter("grants_asked", "requests", "grant requests sent to endpoint coordinators at other gateways")
	requestsAnswered = telemetry.NewCounter("grants_answered", "requests", "grant requests of other gateways answered")
	permitsAsked     = telemetry.NewCounter("permits_asked", "requests", "requests for a permit sent to coordinators of endpoints that name a limit")
	permitsAnswered  = telemetry.NewCounter("permits_answered", "requests", "requests of other gateways for a permit answered")
	requestsTimedOut = telemetry.NewCounter("grants_unanswered", "requests", "grant and permit requests without a response in time")
	releasesSent     = telemetry.NewCounter("grants_released", "releases", "ends of granted requests told to endpoint coordinators at other gateways")
	sentBytes        = telemetry.NewCounter("grants_sent_bytes", "bytes", "size of the grant requests and responses sent")
	malformed        = telemetry.NewCounter("grants_malformed", "datagrams", "datagrams that are neither a grant request nor an expected response")
)

// NoResponseError reports that a gateway did not respond in time, or recently
// did not and was not asked.
type NoResponseError struct{ Gateway string }

// Error implements error.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("no response from gateway %s", e.Gateway)
}

// Coordinator decides on the requests of other gateways.
type Coordinator interface {
	Grant(req Request, now time.Time) Response
	Permit(req PermitRequest, now time.Time) PermitResponse
	Release(r Release, now time.Time)
}

// Controller sends grant requests, and answers those of other gateways through
// a Coordinator. It is safe for concurrent use.
type Controller struct {
	conn        net.PacketConn
	coordinator Coordinator
	// creditKeeper is nil if this gateway deals with no credit.
	creditKeeper CreditKeeper
	prover       Prover
	// streamKeeper is nil if this gateway deals with no streams.
	streamKeeper StreamKeeper
	recordPace   func(PaceReport, time.Time)
	logger       *log.Logger

	mu sync.Mutex
	// lastRequestID is the ID of the latest request sent.
	lastRequestID uint64
	// pending holds the response channels of outstanding requests by request
	// ID. unresponsive holds, by gateway, the time until which it gets no
	// requests.
	pending      map[uint64]chan message
	unresponsive map[string]time.Time
	// unreadableLog and refusedLog limit the log lines about messages that can't be read
	// here, and by another gateway.
	unreadableLog, refusedLog logLimit
}

// New returns a controller that communicates over conn. Run closes conn.
func New(conn net.PacketConn, logger *log.Logger) *Controller {
	return &Controller{conn: conn, logger: logger, pending: make(map[uint64]chan message), unresponsive: make(map[string]time.Time)}
}

// SetCoordinator sets the Coordinator. It must be called before Run.
func (c *Controller) SetCoordinator(coordinator Coordinator) { c.coordinator = coordinator }

// Name implements controller.Controller.
func (c *Controller) Name() string { return "grants" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	t.Go(func() error {
		<-t.Dying()
		return c.conn.Close()
	})
	datagram.Receive(c.conn, maxDatagramBytes, c.logger, func(body []byte, from net.Addr) {
		var m message
		if problems := lenient.Decode(body, &m); len(problems) > 0 {
			c.handleUnreadable(m, problems, from)
			return
		}
		c.handle(m, from)
	})
	return nil
}

func (c *Controller) handle(m message, from net.Addr) {
	switch {
	case m.Request != nil:
		response := c.coordinator.Grant(*m.Request, time.Now())
		requestsAnswered.Inc()
		c.respond(message{RequestID: m.RequestID, Response: &response, Unreadable: m.Unreadable}, from)
	case m.PermitRequest != nil:
		response := c.coordinator.Permit(*m.PermitRequest, time.Now())
		permitsAnswered.Inc()
		c.respond(message{RequestID: m.RequestID, PermitResponse: &response, Unreadable: m.Unreadable}, from)
	case m.ProofRequest != nil:
		c.answerProof(m, from)
	case m.PaceReport != nil:
		c.handlePaceReport(*m.PaceReport)
	case m.Release != nil:
		c.coordinator.Release(*m.Release, time.Now())
	case c.handleCredit(m, from):
	case c.handleStream(m, from):
	case m.isResponse() && c.deliver(m):
	default:
		malformed.Inc()
	}
}

func (c *Controller) respond(m message, to net.Addr) {
	if err := c.send(m, to); err != nil {
		c.logger.Warn("cannot send grant response", "to", to, "err", err)
	}
}

// deliver passes a response to the goroutine that waits for it. It returns
// false if there is none.
func (c *Controller) deliver(m message) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch, ok := c.pending[m.RequestID]
	if ok {
		ch <- m
		delete(c.pending, m.RequestID)
	}
	return ok
}

// RequestGrant sends a grant request to the gateway with the given ID and
// address and waits for its response. The error is a *NoResponseError if the
// gateway does not respond; the request may have been granted nevertheless.
func (c *Controller) RequestGrant(ctx context.Context, gateway, address string, req Request) (Response, error) {
	m, err := c.exchange(ctx, gateway, address, message{Request: &req})
	if err != nil {
		return Response{}, err
	}
	c.logRefused(gateway, m)
	if m.Response == nil {
		return Response{}, errors.WithStack(&NoResponseError{Gateway: gateway})
	}
	return *m.Response, nil
}

// RequestPermit is RequestGrant for a permit.
func (c *Controller) RequestPermit(ctx context.Context, gateway, address string, req PermitRequest) (PermitResponse, error) {
	m, err := c.exchange(ctx, gateway, address, message{PermitRequest: &req})
	if err != nil {
		return PermitResponse{}, err
	}
	c.logRefused(gateway, m)
	if m.PermitResponse == nil {
		return PermitResponse{}, errors.WithStack(&NoResponseError{Gateway: gateway})
	}
	return *m.PermitResponse, nil
}

// ReleaseGrant sends a release to the gateway with the given address.
func (c *Controller) ReleaseGrant(address string, r Release) error {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return errors.Wrap(err, "resolve gateway address")
	}
	releasesSent.Inc()
	return c.send(message{Release: &r}, to)
}

// exchange sends a request and returns the response. The error is a *NoResponseError if
// there is none in time.
func (c *Controller) exchange(ctx context.Context, gateway, address string, m message) (message, error) {
	if c.isUnresponsive(gateway, time.Now()) {
		return message{}, errors.WithStack(&NoResponseError{Gateway: gateway})
	}
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return message{}, errors.Wrap(err, "resolve gateway address")
	}
	var ch chan message
	m.RequestID, ch = c.register()
	defer c.unregister(m.RequestID)
	if m.Request != nil {
		requestsSent.Inc()
	} else {
		permitsAsked.Inc()
	}
	if err := c.send(m, to); err != nil {
		return message{}, err
	}
	timer := time.NewTimer(responseTimeout)
	defer timer.Stop()
	select {
	case response := <-ch:
		return response, nil
	case <-ctx.Done():
		return message{}, errors.WithStack(ctx.Err())
	case <-timer.C:
		requestsTimedOut.Inc()
		c.markUnresponsive(gateway, time.Now())
		return message{}, errors.WithStack(&NoResponseError{Gateway: gateway})
	}
}

func (c *Controller) register() (uint64, chan message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRequestID++
	ch := make(chan message, 1)
	c.pending[c.lastRequestID] = ch
	return c.lastRequestID, ch
}

func (c *Controller) unregister(requestID uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, requestID)
}

func (c *Controller) isUnresponsive(gateway string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.unresponsive[gateway]
	if ok && !now.Before(until) {
		delete(c.unresponsive, gateway)
		return false
	}
	return ok
}

func (c *Controller) markUnresponsive(gateway string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsive[gateway] = now.Add(unresponsiveBackoff)
}

func (c *Controller) send(m message, to net.Addr) error {
	body, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	sentBytes.Add(int64(len(body)))
	_, err = c.conn.WriteTo(body, to)
	return errors.Wrap(err, "send grant message")
}
