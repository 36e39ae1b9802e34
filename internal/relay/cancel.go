package relay

import (
	"context"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"
)

const (
	// cancelQueue is the number of cancel orders that may wait.
	cancelQueue = 1024
	// cancelWorkers is the number of cancel orders sent at once.
	cancelWorkers = 8
	// cancelTimeout bounds one cancel order.
	cancelTimeout = 2 * time.Second
)

// cancelOrder asks an endpoint to drop the work of an attempt.
type cancelOrder struct {
	target  Target
	attempt string
}

// canceller sends cancel orders beside the requests that they belong to. An
// order is needed where closing the connection does not reach the endpoint.
type canceller struct {
	pools  *pools
	orders chan cancelOrder
}

func newCanceller(p *pools) *canceller {
	return &canceller{pools: p, orders: make(chan cancelOrder, cancelQueue)}
}

func (c *canceller) start(t *tomb.Tomb) {
	for range cancelWorkers {
		t.Go(func() error { return c.work(t) })
	}
}

func (c *canceller) work(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for {
		select {
		case <-t.Dying():
			return nil
		case o := <-c.orders:
			c.send(ctx, o)
		}
	}
}

// cancel queues an order; it never blocks.
func (c *canceller) cancel(target Target, attempt string) {
	select {
	case c.orders <- cancelOrder{target: target, attempt: attempt}:
	default:
		cancelsLost.Inc()
	}
}

func (c *canceller) send(ctx context.Context, o cancelOrder) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	url := "http://" + o.target.Address + CancelPath + o.attempt
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, http.NoBody)
	if err != nil {
		cancelsLost.Inc()
		return
	}
	addHeader(req.Header, o.target.Header)
	resp, err := c.pools.get(o.target.Address).fresh.RoundTrip(req)
	if err != nil {
		cancelsLost.Inc()
		return
	}
	resp.Body.Close()
	cancelsSent.Inc()
}

// addHeader copies the fields of from to h.
func addHeader(h, from http.Header) {
	for k, vs := range from {
		h[k] = append([]string(nil), vs...)
	}
}
