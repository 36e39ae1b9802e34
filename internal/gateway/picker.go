package gateway

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/peer"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/relay"
	"github.com/hickorystage/hickorystage/internal/sched"
	"github.com/hickorystage/hickorystage/internal/sched/datastore"
)

// forwardHeaderTimeout is the timeout for the response header of a gateway in
// another region. It includes queueing and attempts in that region.
const forwardHeaderTimeout = 15 * time.Second

// chatPicker turns the scheduler's decisions for one chat into targets of
// attempts.
type chatPicker struct {
	g         *Gateway
	call      *call
	req       *sched.Request
	admission admit.Request
	repeatKey quarantine.Key
	// pendingDecision is a decision that no attempt has used yet, or nil.
	pendingDecision *sched.Decision
	// forwarded is set once the request has used its only forward to another
	// region.
	forwarded bool
}

// pick implements relay.Picker.
func (p *chatPicker) pick(ctx context.Context, tried map[string]bool) (relay.Target, error) {
	if err := p.g.heldRefusal(p.repeatKey); err != nil {
		return relay.Target{}, err
	}
	p.req.ExcludedEndpoints = p.g.withPaused(tried, p.req.Groups...)
	p.req.TimeToDeadline = p.call.remaining()
	p.applyCurrentIntent()
	if p.forwarded {
		p.req.ForwardsLeft = 0
	}
	for {
		decision, err := p.nextDecision(ctx)
		if err != nil {
			return relay.Target{}, p.g.afterPauses(err, p.req.ID, p.req.Groups...)
		}
		if target, ok := p.target(decision, tried); ok {
			return target, nil
		}
	}
}

// applyCurrentIntent restricts the request to the regions that the
// configuration now in force permits.
func (p *chatPicker) applyCurrentIntent() {
	p.call = p.call.narrowedTo(p.g.Board.Intent.Get())
	p.req.PermittedRegions = p.call.permitted
}

// nextDecision returns the pending decision, or asks the dispatcher for another
// one.
func (p *chatPicker) nextDecision(ctx context.Context) (sched.Decision, error) {
	if p.pendingDecision != nil {
		d := *p.pendingDecision
		p.pendingDecision = nil
		return d, nil
	}
	return p.g.Dispatcher.Retry(ctx, p.admission, p.req)
}

// releasePending records a decision that no attempt has used as cancelled.
func (p *chatPicker) releasePending() {
	if p.pendingDecision != nil && p.pendingDecision.Kind == sched.Serve {
		p.g.SchedulerData.RecordEnd(p.pendingDecision.Endpoint, p.req.ID, datastore.Cancelled, time.Now())
	}
}

// target returns the target that a decision names. It returns false if the
// endpoint or region is not known any more, or if a newer configuration forbids
// the region; the next decision is then made without it.
func (p *chatPicker) target(d sched.Decision, tried map[string]bool) (relay.Target, bool) {
	p.applyCurrentIntent()
	if d.Kind == sched.Forward {
		return p.forwardTarget(d.Region, tried)
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
	if now := time.Now(); e.Leaving || !p.g.Pauses.TryAdmit(e.ID, e.Incarnation, now) {
		// The endpoint said so since the decision, or has its share after a pause.
		p.g.SchedulerData.RecordEnd(e.ID, p.req.ID, datastore.Cancelled, now)
		p.exclude(e.ID)
		return relay.Target{}, false
	}
	return endpointTarget(e), true
}

// exclude keeps the next decisions for this attempt from an endpoint.
func (p *chatPicker) exclude(id string) {
	excluded := map[string]bool{id: true}
	maps.Copy(excluded, p.req.ExcludedEndpoints)
	p.req.ExcludedEndpoints = excluded
}

// endpointTarget returns an endpoint of this region as a target of the relay.
func endpointTarget(e blackboard.EndpointState) relay.Target {
	return relay.Target{ID: e.ID, Incarnation: e.Incarnation, Group: e.Group, Region: e.Region, Address: e.Address}
}

// forwardTarget returns a gateway of another region as a target. A request is
// forwarded at most once.
func (p *chatPicker) forwardTarget(region string, tried map[string]bool) (relay.Target, bool) {
	if !p.call.permitted[region] {
		return relay.Target{}, false
	}
	p.forwarded = true
	p.req.ForwardsLeft = 0
	gw, ok := p.g.gatewayInRegion(region, p.call, tried)
	if !ok {
		return relay.Target{}, false
	}
	return p.g.peerTarget(gw, p.call, ""), true
}

// peerTarget returns a gateway of another region as a target of the relay.
// prefix precedes the path that the request has at an endpoint.
func (g *Gateway) peerTarget(gw EntryGateway, c *call, prefix string) relay.Target {
	return relay.Target{
		ID:      gw.Instance,
		Region:  gw.Region,
		Address: gw.Address,
		Header:  http.Header{},
		Peer: &relay.PeerRoute{
			PathPrefix:    peer.PathForward + prefix,
			HeaderTimeout: forwardHeaderTimeout,
			Prepare:       g.Peers.SignForward(c.forward(g.Board.Self.ID, 0, 0)),
		},
	}
}

// gatewayInRegion returns the first gateway in the customer's ranking of a
// region that has not been tried, with its peer address. It returns false if
// there is none or the region's summary is missing or too old.
func (g *Gateway) gatewayInRegion(region string, c *call, tried map[string]bool) (EntryGateway, bool) {
	s, ok := g.Board.Regions.Get(region)
	if !ok || time.Since(s.AsOf) > maxRegionSummaryAge {
		return EntryGateway{}, false
	}
	var candidates []EntryGateway
	for _, gw := range s.Gateways {
		if !tried[gw.ID] {
			candidates = append(candidates, EntryGateway{Instance: gw.ID, Region: region, Address: gw.Peer})
		}
	}
	ranked := rankEntryGateways(c.customerName, candidates)
	if len(ranked) == 0 {
		return EntryGateway{}, false
	}
	return ranked[0], true
}

// AttemptObserver records in the datastore how attempts at endpoints progress
// and end, and what endpoints say of themselves. Attempts at other gateways are not
// recorded.
type AttemptObserver struct {
	SchedulerData *datastore.Store
	Signals       *EndpointSignals
	Crashes       Crashes
}

// AttemptStarted implements relay.Observer. It does nothing: the dispatcher has
// recorded the decision.
func (o AttemptObserver) AttemptStarted(relay.Attempt) {}

// SignalsReceived implements relay.Observer.
func (o AttemptObserver) SignalsReceived(a relay.Attempt, s httpmeta.Signals, err error) {
	o.Signals.Record(a.Target.ID, a.Target.Incarnation, s, err)
}

// FirstTokenReceived implements relay.Observer.
func (o AttemptObserver) FirstTokenReceived(a relay.Attempt, _ time.Duration) {
	if a.Target.Peer == nil {
		o.SchedulerData.RecordFirstToken(a.Target.ID, a.RequestID, time.Now())
	}
}

// AttemptEnded implements relay.Observer.
func (o AttemptObserver) AttemptEnded(a relay.Attempt, r relay.Result) {
	if a.Target.Peer == nil {
		o.SchedulerData.RecordEnd(a.Target.ID, a.RequestID, datastoreResult(r.Kind), time.Now())
		o.Crashes.attemptEnded(a, r)
	}
}

func datastoreResult(kind relay.ResultKind) datastore.Result {
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

// RetryBudget is the retry budget of admission control. It implements
// relay.RetryBudget.
type RetryBudget struct{ Admission *admit.Controller }

// TrySpend implements relay.RetryBudget.
func (b RetryBudget) TrySpend() bool { return b.Admission.AllowRetry() }

// noEndpointRefusal returns the refusal of a request that no endpoint can
// serve.
func noEndpointRefusal(target string) *failure.Refusal {
	return failure.Refuse(failure.CodeNoEndpoint, "no endpoint serves %s now", target).WithRetryAfter(unavailableRetryAfter)
}
