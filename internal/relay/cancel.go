package relay

import (
	"context"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	// cancelQueueSize is the number of cancel requests that may be queued.
	cancelQueueSize = 1024
	// cancelWorkers is the number of cancel requests sent at once.
	cancelWorkers = 8
	// cancelTimeout limits one cancel request.
	cancelTimeout = 2 * time.Second
)

// cancelRequest asks an endpoint to cancel the work of an attempt.
type cancelRequest struct {
	target    Target
	attemptID string
}

// canceller sends cancel requests in the background. They are needed where the
// endpoint does not notice that the connection was closed.
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
		case request := <-c.queue:
			c.send(ctx, request)
		}
	}
}

// enqueue queues a cancel request. It never blocks: if the queue is full, the
// request is dropped and counted.
func (c *canceller) enqueue(target Target, attemptID string) {
	select {
	case c.queue <- cancelRequest{target: target, attemptID: attemptID}:
	default:
		cancelsFailed.Inc()
	}
}

func (c *canceller) send(ctx context.Context, request cancelRequest) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	url := "http://" + request.target.Address + CancelPath + request.attemptID
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		cancelsFailed.Inc()
		return
	}
	copyHeader(req.Header, request.target.Header)
	resp, err := c.pools.get(request.target.Address).singleUse.RoundTrip(req)
	if err != nil {
		cancelsFailed.Inc()
		return
	}
	resp.Body.Close()
	cancelsSent.Inc()
}

// copyHeader copies the fields of from to h, replacing those of the same name.
func copyHeader(h, from http.Header) {
	for k, vs := range from {
		h[k] = append([]string(nil), vs...)
	}
}
