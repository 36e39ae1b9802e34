package relay

import (
	"context"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	// cancelQueueSize is the number of cancel orders that may wait.
	cancelQueueSize = 1024
	// cancelWorkers is the number of cancel orders sent at once.
	cancelWorkers = 8
	// cancelTimeout bounds one cancel order.
	cancelTimeout = 2 * time.Second
)

// cancelRequest asks an endpoint to drop the work of an attempt.
type cancelRequest struct {
	target    Target
	attemptID string
}

// canceller sends cancel orders beside the requests that they belong to. An
// order is needed where closing the connection does not reach the endpoint.
type canceller struct {
	pools *connPools
	queue chan cancelRequest
}

func newCanceller(p *connPools) *canceller {
	return &canceller{pools: p, queue: make(chan cancelRequest, cancelQueueSize)}
}

func (c *canceller) start(t *tomb.Tomb) {
	for range cancelWorkers {
		t.Go(func() error { return c.run(t) })
	}
}

func (c *canceller) run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for {
		select {
		case <-t.Dying():
			return nil
		case o := <-c.queue:
			c.send(ctx, o)
		}
	}
}

// enqueue queues an order; it never blocks.
func (c *canceller) enqueue(target Target, attempt string) {
	select {
	case c.queue <- cancelRequest{target: target, attemptID: attempt}:
	default:
		cancelsFailed.Inc()
	}
}

func (c *canceller) send(ctx context.Context, o cancelRequest) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	url := "http://" + o.target.Address + CancelPath + o.attemptID
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		cancelsFailed.Inc()
		return
	}
	copyHeader(req.Header, o.target.Header)
	resp, err := c.pools.get(o.target.Address).singleUse.RoundTrip(req)
	if err != nil {
		cancelsFailed.Inc()
		return
	}
	resp.Body.Close()
	cancelsSent.Inc()
}

// copyHeader copies the fields of from to h.
func copyHeader(h, from http.Header) {
	for k, vs := range from {
		h[k] = append([]string(nil), vs...)
	}
}
