package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/relay"
	"github.com/hickorystage/hickorystage/internal/sched"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
)

// awayHeaderTimeout is the longest wait for another region's gateway to begin
// its answer; it covers that region's own queue and attempts.
const awayHeaderTimeout = 15 * time.Second

// picker turns the scheduler's decisions for one request into targets.
type picker struct {
	g    *Gateway
	call *call
	req  *sched.Request
	item admit.Request
	// next is a decision not yet used.
	next *sched.Decision
	// moved says that the request has used its move to another region.
	moved bool
}

// pick implements relay.Picker.
func (p *picker) pick(ctx context.Context, tried map[string]bool) (relay.Target, error) {
	p.req.ExcludedEndpoints = tried
	p.req.TimeToDeadline = p.call.remaining()
	p.refresh()
	if p.moved {
		p.req.ForwardsLeft = 0
	}
	for {
		decision, err := p.decision(ctx)
		if err != nil {
			return relay.Target{}, err
		}
		if target, ok := p.target(decision, tried); ok {
			return target, nil
		}
	}
}

// refresh holds the request to the configuration in force now.
func (p *picker) refresh() {
	p.call = p.call.under(p.g.Board.Intent.Get())
	p.req.PermittedRegions = p.call.permitted
}

// decision returns the decision at hand or asks for another one.
func (p *picker) decision(ctx context.Context) (sched.Decision, error) {
	if p.next != nil {
		d := *p.next
		p.next = nil
		return d, nil
	}
	return p.g.Dispatcher.Retry(ctx, p.item, p.req)
}

// close gives back a decision that no attempt has used.
func (p *picker) close() {
	if p.next != nil && p.next.Kind == sched.Serve {
		p.g.SchedulerData.RecordEnd(p.next.Endpoint, p.req.ID, datastore.Cancelled, time.Now())
	}
}

// target returns where a decision leads. It returns false when the endpoint or
// region has vanished since, or when a newer configuration forbids the region;
// the next decision then does without it.
func (p *picker) target(d sched.Decision, tried map[string]bool) (relay.Target, bool) {
	p.refresh()
	if d.Kind == sched.Forward {
		return p.away(d.Region, tried)
	}
	if !p.call.permitted[p.g.Board.Self.Region] {
		p.g.SchedulerData.RecordEnd(d.Endpoint, p.req.ID, datastore.Cancelled, time.Now())
		return relay.Target{}, false
	}
	e, ok := p.g.Board.Endpoints.Get(d.Endpoint)
	if !ok {
		p.g.SchedulerData.RecordEnd(d.Endpoint, p.req.ID, datastore.Cancelled, time.Now())
		p.g.SchedulerData.Remove(d.Endpoint)
		return relay.Target{}, false
	}
	return relay.Target{ID: e.ID, Group: e.Group, Region: e.Region, Address: e.Address}, true
}

// away returns a gateway of another region, once for each request.
func (p *picker) away(region string, tried map[string]bool) (relay.Target, bool) {
	if !p.call.permitted[region] {
		return relay.Target{}, false
	}
	p.moved = true
	p.req.ForwardsLeft = 0
	gateway, ok := p.g.gatewayOf(region, p.call, tried)
	if !ok {
		return relay.Target{}, false
	}
	return p.g.peerTarget(gateway, p.call, ""), true
}

// peerTarget is a gateway of another region as a target of the relay. prefix
// precedes the path that the request has at an endpoint.
func (g *Gateway) peerTarget(to EntryGateway, c *call, prefix string) relay.Target {
	return relay.Target{
		ID:      to.Instance,
		Region:  to.Region,
		Address: to.Address,
		Header:  http.Header{},
		Peer: &relay.PeerRoute{
			PathPrefix:    peer.PathForward + prefix,
			HeaderTimeout: awayHeaderTimeout,
			Prepare:       g.Peers.SignForward(c.forward(g.Board.Self.ID, 0, 0)),
		},
	}
}

// gatewayOf returns the peer address of a gateway of region that has not been
// tried: the one that the customer's requests meet at.
func (g *Gateway) gatewayOf(region string, c *call, tried map[string]bool) (EntryGateway, bool) {
	s, ok := g.Board.Regions.Get(region)
	if !ok || time.Since(s.AsOf) > regionStale {
		return EntryGateway{}, false
	}
	var entries []EntryGateway
	for _, gw := range s.Gateways {
		if !tried[gw.ID] {
			entries = append(entries, EntryGateway{Instance: gw.ID, Region: region, Address: gw.Peer})
		}
	}
	order := ranked(c.customerName, entries)
	if len(order) == 0 {
		return EntryGateway{}, false
	}
	return order[0], true
}

// AttemptObserver tells the datastore how attempts end.
type AttemptObserver struct{ SchedulerData *datastore.Store }

// AttemptStarted implements relay.Observer. The dispatcher has noted the decision.
func (o AttemptObserver) AttemptStarted(relay.Attempt) {}

// FirstTokenReceived implements relay.Observer.
func (o AttemptObserver) FirstTokenReceived(a relay.Attempt, _ time.Duration) {
	if a.Target.Peer == nil {
		o.SchedulerData.RecordFirstToken(a.Target.ID, a.RequestID, time.Now())
	}
}

// AttemptEnded implements relay.Observer.
func (o AttemptObserver) AttemptEnded(a relay.Attempt, r relay.Result) {
	if a.Target.Peer == nil {
		o.SchedulerData.RecordEnd(a.Target.ID, a.RequestID, resultOf(r.Kind), time.Now())
	}
}

func resultOf(kind relay.ResultKind) datastore.Result {
	switch kind {
	case relay.ResultOK, relay.ResultRejected:
		return datastore.Success
	case relay.ResultDialFailed:
		return datastore.DialFailed
	case relay.ResultEndpointSilent:
		return datastore.Unresponsive
	case relay.ResultBusy, relay.ResultBadStatus, relay.ResultMismatched, relay.ResultMissingChunk, relay.ResultMalformed:
		return datastore.ErrorStatus
	case relay.ResultTruncated:
		return datastore.Truncated
	case relay.ResultConnSilent, relay.ResultConnLost, relay.ResultCallerGone, relay.ResultDeadlineExceeded:
	}
	return datastore.Cancelled
}

// RetryBudget spends the retry budget of admission.
type RetryBudget struct{ Admission *admit.Controller }

// TrySpend implements relay.RetryBudget.
func (b RetryBudget) TrySpend() bool { return b.Admission.AllowRetry() }

// noEndpoint is the refusal for a request that nothing serves.
func noEndpoint(what string) *failure.Refusal {
	return failure.Refuse(failure.CodeNoEndpoint, "no endpoint serves %s now", what).WithRetryAfter(drainRetry)
}
