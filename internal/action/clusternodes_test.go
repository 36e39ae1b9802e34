package action_test

import (
	"context"

	"github.com/hickorystage/hickorystage/internal/action"
)

// nodeDispatcher is a node's connection to the simulated service.
type nodeDispatcher struct{ n *node }

func (d nodeDispatcher) Dispatch(ctx context.Context, r action.DispatchRequest) (action.EndpointResponse, error) {
	err := d.n.callRemote(ctx, action.StepDial, func() error { return nil })
	if err != nil {
		return action.EndpointResponse{}, &action.NotSentError{Cause: err}
	}
	if err := r.Commit(); err != nil {
		return action.EndpointResponse{}, &action.NotSentError{Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	status := make(chan int, 2)
	err = d.n.callRemote(ctx, action.StepSend, func() error {
		status <- d.n.cluster.execute(r)
		return nil
	})
	if err != nil {
		return action.EndpointResponse{}, &action.MaybeSentError{Cause: err}
	}
	return action.EndpointResponse{Status: <-status, Body: r.Body}, nil
}

// execute executes a request at the service, counts it by its request id, and
// returns the HTTP status.
func (c *cluster) execute(r action.DispatchRequest) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checksFencing && c.fencedActions[r.ActionID] {
		return 409
	}
	c.fencedActions[r.ActionID] = true
	c.executed[r.RequestID]++
	return 200
}

// nodePeers is a node's connection to its peers.
type nodePeers struct{ n *node }

// reach runs fn at the gateway with the incarnation.
func (p nodePeers) reach(ctx context.Context, s action.Step, incarnation string, fn func(*node) error) error {
	c := p.n.cluster
	c.mu.Lock()
	var target *node
	for _, n := range c.nodes {
		if n.incarnation == incarnation && !n.dead {
			target = n
		}
	}
	c.mu.Unlock()
	if target == nil {
		return &action.PeerUnknownError{Incarnation: incarnation}
	}
	if target.isUnreachable() || p.n.isUnreachable() {
		return &action.PeerUnreachableError{Incarnation: incarnation}
	}
	done := make(chan error, 2)
	err := p.n.callRemote(ctx, s, func() error {
		c.goroutines.Go(func() {
			if target.waitWhilePaused() {
				done <- fn(target)
			}
		})
		select {
		case err := <-done:
			return err
		case <-ctx.Done():
		case <-c.ended:
		}
		return &lostError{sent: true}
	})
	if _, lost := err.(*lostError); lost {
		return &action.PeerUnreachableError{Incarnation: incarnation, MaybeSent: true, Cause: err}
	}
	return err
}

func (p nodePeers) ForwardAction(ctx context.Context, incarnation string, c action.Call) (resp action.Response, err error) {
	c.Forwarded = true
	out := make(chan action.Response, 2)
	err = p.reach(ctx, action.StepForward, incarnation, func(n *node) error {
		resp, err := n.m.Do(ctx, c)
		out <- resp
		return err
	})
	if err != nil {
		return resp, err
	}
	return <-out, nil
}

func (p nodePeers) ForwardOutcome(ctx context.Context, incarnation string, q action.Query) (rec action.Record, err error) {
	q.Forwarded = true
	out := make(chan action.Record, 2)
	err = p.reach(ctx, action.StepForward, incarnation, func(n *node) error {
		rec, err := n.m.Outcome(ctx, q)
		out <- rec
		return err
	})
	if err != nil {
		return rec, err
	}
	return <-out, nil
}

// holders returns the n live peers that are to hold the seal of an incarnation.
func (p nodePeers) holders(incarnation string, n int) []string {
	p.n.cluster.mu.Lock()
	defer p.n.cluster.mu.Unlock()
	var ids []string
	for _, n := range p.n.cluster.nodes {
		if !n.dead && n.incarnation != incarnation {
			ids = append(ids, n.incarnation)
		}
	}
	return action.SealHolders(incarnation, ids, n)
}

func (p nodePeers) FindSeal(ctx context.Context, incarnation string) (action.Seal, error) {
	for _, id := range p.holders(incarnation, 2*sealCopies) {
		out := make(chan action.Seal, 2)
		err := p.reach(ctx, action.StepSealRead, id, func(n *node) error {
			s, ok := n.m.CachedSeal(incarnation)
			if !ok {
				return &action.PeerUnknownError{Incarnation: incarnation}
			}
			out <- s
			return nil
		})
		if err == nil {
			return <-out, nil
		}
	}
	return action.Seal{}, &action.PeerUnknownError{Incarnation: incarnation}
}

func (p nodePeers) Send(ctx context.Context, s action.Seal) (err error) {
	err = &action.PeerUnknownError{}
	for _, id := range p.holders(s.Incarnation, sealCopies) {
		peerErr := p.reach(ctx, action.StepSealSend, id, func(n *node) error {
			n.m.ImportSeal(s)
			return nil
		})
		if peerErr == nil {
			err = nil
		}
	}
	return err
}
