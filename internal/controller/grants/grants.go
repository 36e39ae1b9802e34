// Package grants is the controller by which the gateways of a large region ask
// each other for places at endpoints. Each endpoint has one gateway, its
// coordinator, that admits the region's requests to it and so knows its queue
// without delay. Questions and answers are datagrams of JSON; nothing is sent
// again, since whoever gets no answer asks another coordinator or decides by
// itself.
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
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

const (
	// answerTimeout is how long an answer is waited for: a round trip within a
	// region, and a turn of a busy small machine's processor.
	answerTimeout = 60 * time.Millisecond
	// quietTime is how long a gateway that did not answer is not asked: about
	// the time until it would be known as silent.
	quietTime = time.Second
	// maxBytes bounds a datagram.
	maxBytes = 8 << 10
)

var (
	asked      = telemetry.NewCounter("grants_asked", "questions", "questions for a place at an endpoint sent to other gateways")
	answered   = telemetry.NewCounter("grants_answered", "questions", "questions of other gateways answered")
	unanswered = telemetry.NewCounter("grants_unanswered", "questions", "questions that got no answer in time")
	sentBytes  = telemetry.NewCounter("grants_sent_bytes", "bytes", "size of the questions and answers sent")
	malformed  = telemetry.NewCounter("grants_malformed", "datagrams", "datagrams that are no question and no awaited answer")
)

// NoResponseError says that a gateway did not answer in time, or did not lately.
type NoResponseError struct{ Gateway string }

// Error implements error.
func (e *NoResponseError) Error() string { return fmt.Sprintf("no answer from gateway %s", e.Gateway) }

// Coordinator answers the questions of other gateways.
type Coordinator interface {
	Grant(q Request, now time.Time) Response
}

// Controller asks, and answers by a Decider. It is safe for concurrent use.
type Controller struct {
	conn    net.PacketConn
	decider Coordinator
	logger  *log.Logger

	mu     sync.Mutex
	number uint64
	// waiting holds the questions under way, quiet until when gateways are not
	// asked.
	waiting map[uint64]chan Response
	quiet   map[string]time.Time
}

// New returns a controller that speaks over conn.
func New(conn net.PacketConn, logger *log.Logger) *Controller {
	return &Controller{conn: conn, logger: logger, waiting: make(map[uint64]chan Response), quiet: make(map[string]time.Time)}
}

// SetCoordinator sets who answers. It is called before Run.
func (c *Controller) SetCoordinator(d Coordinator) { c.decider = d }

// Name implements controller.Controller.
func (c *Controller) Name() string { return "grants" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	t.Go(func() error {
		<-t.Dying()
		return c.conn.Close()
	})
	datagram.Receive(c.conn, maxBytes, c.logger, func(body []byte, from net.Addr) {
		var m message
		if err := json.Unmarshal(body, &m); err != nil {
			malformed.Inc()
			return
		}
		c.hear(m, from)
	})
	return nil
}

func (c *Controller) hear(m message, from net.Addr) {
	switch {
	case m.Question != nil:
		answer := c.decider.Grant(*m.Question, time.Now())
		answered.Inc()
		if err := c.send(message{Number: m.Number, Answer: &answer}, from); err != nil {
			c.logger.Warn("answer not sent", "to", from, "err", err)
		}
	case m.Answer != nil && c.deliver(m.Number, *m.Answer):
	default:
		malformed.Inc()
	}
}

// deliver gives an answer to who waits for it; false if no one does.
func (c *Controller) deliver(number uint64, a Response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch, ok := c.waiting[number]
	if ok {
		ch <- a
		delete(c.waiting, number)
	}
	return ok
}

// RequestGrant asks the gateway with the given id and address. The error is a
// *NoAnswerError if it does not answer; then the place may have been granted.
func (c *Controller) RequestGrant(ctx context.Context, gateway, address string, q Request) (Response, error) {
	if c.isQuiet(gateway, time.Now()) {
		return Response{}, errors.WithStack(&NoResponseError{Gateway: gateway})
	}
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return Response{}, errors.Wrap(err, "resolve address")
	}
	number, ch := c.begin()
	defer c.end(number)
	asked.Inc()
	if err := c.send(message{Number: number, Question: &q}, to); err != nil {
		return Response{}, err
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case a := <-ch:
		return a, nil
	case <-ctx.Done():
		return Response{}, errors.WithStack(ctx.Err())
	case <-timer.C:
		unanswered.Inc()
		c.setQuiet(gateway, time.Now())
		return Response{}, errors.WithStack(&NoResponseError{Gateway: gateway})
	}
}

func (c *Controller) begin() (uint64, chan Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	ch := make(chan Response, 1)
	c.waiting[c.number] = ch
	return c.number, ch
}

func (c *Controller) end(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, number)
}

func (c *Controller) isQuiet(gateway string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, ok := c.quiet[gateway]
	if ok && !now.Before(until) {
		delete(c.quiet, gateway)
		return false
	}
	return ok
}

func (c *Controller) setQuiet(gateway string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quiet[gateway] = now.Add(quietTime)
}

func (c *Controller) send(m message, to net.Addr) error {
	body, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	sentBytes.Add(int64(len(body)))
	_, err = c.conn.WriteTo(body, to)
	return errors.Wrap(err, "send")
}
