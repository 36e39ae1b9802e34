package action_test

import (
	"context"

	"github.com/hickorystage/hickorystage/internal/action"
)

// serviceOf is the plain service as a node reaches it.
type serviceOf struct{ n *node }

func (s serviceOf) Dispatch(ctx context.Context, o action.DispatchRequest) (action.EndpointResponse, error) {
	err := s.n.remote(ctx, action.StepDial, func() error { return nil })
	if err != nil {
		return action.EndpointResponse{}, &action.NotSentError{Cause: err}
	}
	if err := o.Commit(); err != nil {
		return action.EndpointResponse{}, &action.NotSentError{Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	status := make(chan int, 2)
	err = s.n.remote(ctx, action.StepSend, func() error {
		status <- s.n.w.execute(o)
		return nil
	})
	if err != nil {
		return action.EndpointResponse{}, &action.MaybeSentError{Cause: err}
	}
	return action.EndpointResponse{Status: <-status, Body: o.Body}, nil
}

// execute runs an order for real and counts it; the order's body names the
// action.
func (w *world) execute(o action.DispatchRequest) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.checksFencing && w.fenced[o.ActionID] {
		return 409
	}
	w.fenced[o.ActionID] = true
	w.executed[o.RequestID]++
	return 200
}

// peersOf is the other gateways as a node reaches them.
type peersOf struct{ n *node }

// reach runs fn at the gateway of an incarnation.
func (p peersOf) reach(ctx context.Context, s action.Step, incarnation string, fn func(*node) error) error {
	w := p.n.w
	w.mu.Lock()
	var target *node
	for _, n := range w.nodes {
		if n.incarnation == incarnation && !n.dead {
			target = n
		}
	}
	w.mu.Unlock()
	if target == nil {
		return &action.PeerUnknownError{Incarnation: incarnation}
	}
	if target.alone() || p.n.alone() {
		return &action.PeerUnreachableError{Incarnation: incarnation}
	}
	done := make(chan error, 2)
	err := p.n.remote(ctx, s, func() error {
		w.running.Go(func() {
			if target.gate() {
				done <- fn(target)
			}
		})
		select {
		case err := <-done:
			return err
		case <-ctx.Done():
		case <-w.over:
		}
		return &lostError{sent: true}
	})
	if _, lost := err.(*lostError); lost {
		return &action.PeerUnreachableError{Incarnation: incarnation, MaybeSent: true, Cause: err}
	}
	return err
}

func (p peersOf) ForwardAction(ctx context.Context, incarnation string, c action.Call) (a action.Response, err error) {
	c.Forwarded = true
	out := make(chan action.Response, 2)
	err = p.reach(ctx, action.StepForward, incarnation, func(n *node) error {
		a, err := n.m.Do(ctx, c)
		out <- a
		return err
	})
	if err != nil {
		return a, err
	}
	return <-out, nil
}

func (p peersOf) ForwardOutcome(ctx context.Context, incarnation string, q action.Query) (r action.Record, err error) {
	q.Forwarded = true
	out := make(chan action.Record, 2)
	err = p.reach(ctx, action.StepForward, incarnation, func(n *node) error {
		r, err := n.m.Outcome(ctx, q)
		out <- r
		return err
	})
	if err != nil {
		return r, err
	}
	return <-out, nil
}

// holders are the first n peers for the seal of an incarnation.
func (p peersOf) holders(incarnation string, n int) []string {
	p.n.w.mu.Lock()
	defer p.n.w.mu.Unlock()
	var ids []string
	for _, n := range p.n.w.nodes {
		if !n.dead && n.incarnation != incarnation {
			ids = append(ids, n.incarnation)
		}
	}
	return action.SealHolders(incarnation, ids, n)
}

func (p peersOf) FindSeal(ctx context.Context, incarnation string) (action.Seal, error) {
	for _, id := range p.holders(incarnation, 2*maxHeld) {
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

func (p peersOf) Send(ctx context.Context, s action.Seal) (err error) {
	err = &action.PeerUnknownError{}
	for _, id := range p.holders(s.Incarnation, maxHeld) {
		one := p.reach(ctx, action.StepSealSend, id, func(n *node) error {
			n.m.ImportSeal(s)
			return nil
		})
		if one == nil {
			err = nil
		}
	}
	return err
}
