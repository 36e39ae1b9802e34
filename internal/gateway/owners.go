package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/peer"
)

// incarnationSeparator parts the region, the instance and the random part of
// an incarnation id.
const incarnationSeparator = "_"

// sealHolders is the number of peers that get a seal; sealSeekers is the number
// that are asked for one, more since members may have come and gone.
const (
	sealHolders = 3
	sealSeekers = 6
)

// NewIncarnation makes an incarnation id that names its region, so that any
// gateway can tell where a ticket's owner stands.
func NewIncarnation(region, instance, random string) string {
	return strings.Join([]string{region, instance, random}, incarnationSeparator)
}

func regionOf(incarnation string) string {
	region, _, _ := strings.Cut(incarnation, incarnationSeparator)
	return region
}

// OwnerClient reaches the gateways that own tickets. It implements
// action.Forwarder and action.Handover.
type OwnerClient struct{ g *Gateway }

// NewOwnerClient returns the owners as g sees them; g may be filled in later.
func NewOwnerClient(g *Gateway) *OwnerClient { return &OwnerClient{g: g} }

// forwardKey carries the call that an action belongs to.
type forwardKey struct{}

func withCall(ctx context.Context, c *call) context.Context {
	return context.WithValue(ctx, forwardKey{}, c)
}

// ForwardAction implements action.Forwarder.
func (o *OwnerClient) ForwardAction(ctx context.Context, incarnation string, c action.Call) (action.Response, error) {
	reply, err := o.ask(ctx, incarnation, peer.PathActionRun, peer.OwnerRequest{Call: &c})
	if err != nil {
		return action.Response{}, err
	}
	if reply.Response == nil {
		return action.Response{}, lost(incarnation, &peer.MalformedResponseError{})
	}
	return *reply.Response, nil
}

// ForwardOutcome implements action.Forwarder.
func (o *OwnerClient) ForwardOutcome(ctx context.Context, incarnation string, q action.Query) (action.Record, error) {
	reply, err := o.ask(ctx, incarnation, peer.PathActionOutcome, peer.OwnerRequest{Query: &q})
	if err != nil {
		return action.Record{}, err
	}
	if reply.Record == nil {
		return action.Record{}, lost(incarnation, &peer.MalformedResponseError{})
	}
	return *reply.Record, nil
}

// ask sends a request on its way to the owner.
func (o *OwnerClient) ask(ctx context.Context, incarnation, path string, req peer.OwnerRequest) (peer.OwnerResponse, error) {
	c, ok := ctx.Value(forwardKey{}).(*call)
	if !ok || c.ownerMoves() == 0 {
		return peer.OwnerResponse{}, &action.PeerUnknownError{Incarnation: incarnation}
	}
	address, fwd, err := o.way(incarnation, c)
	if err != nil {
		return peer.OwnerResponse{}, err
	}
	req.Owner = incarnation
	req.Forward = fwd
	reply, err := o.g.Peers.SendOwnerRequest(ctx, address, path, req)
	if err != nil {
		return peer.OwnerResponse{}, unreachable(incarnation, err)
	}
	if reply.Refusal != nil {
		return peer.OwnerResponse{}, reply.Refusal.Refusal()
	}
	return reply, nil
}

// way returns the next gateway on the way to an owner: the owner itself, or a
// gateway of its region if the owner is not known here.
func (o *OwnerClient) way(incarnation string, c *call) (string, peer.Forward, error) {
	self := o.g.Board.Self
	c = c.under(o.g.Board.Intent.Get())
	region := regionOf(incarnation)
	if !c.permitted[region] {
		return "", peer.Forward{}, failure.New(failure.CodeResidencyNotPermitted, failure.Unknown, "the ticket is of a region that may not process the customer's data")
	}
	if region != self.Region && c.regionMoves() == 0 {
		return "", peer.Forward{}, &action.PeerUnknownError{Incarnation: incarnation}
	}
	if p, ok := o.g.Membership.PeerByIncarnation(incarnation); ok {
		return p.Address, c.forward(self.ID, 0, 0), nil
	}
	if region == self.Region {
		return "", peer.Forward{}, &action.PeerUnknownError{Incarnation: incarnation}
	}
	gateway, ok := o.g.gatewayOf(region, c, nil)
	if !ok {
		return "", peer.Forward{}, &action.PeerUnknownError{Incarnation: incarnation}
	}
	return gateway.Address, c.forward(self.ID, 0, 1), nil
}

func unreachable(incarnation string, err error) error {
	var notSent *peer.NotSentError
	if errors.As(err, &notSent) {
		return &action.PeerUnreachableError{Incarnation: incarnation, Cause: err}
	}
	return lost(incarnation, err)
}

func lost(incarnation string, err error) error {
	return &action.PeerUnreachableError{Incarnation: incarnation, MaybeSent: true, Cause: err}
}

// FindSeal implements action.Forwarder.
func (o *OwnerClient) FindSeal(ctx context.Context, incarnation string) (action.Seal, error) {
	var unreached error
	for _, p := range o.sealPeers(incarnation, sealSeekers) {
		seal, err := o.g.Peers.FetchSeal(ctx, p, incarnation)
		if err == nil {
			return seal, nil
		}
		var status *peer.StatusError
		if !errors.As(err, &status) {
			unreached = err
		}
	}
	if unreached != nil {
		return action.Seal{}, unreachable(incarnation, unreached)
	}
	return action.Seal{}, &action.PeerUnknownError{Incarnation: incarnation}
}

// Send implements action.Handover.
func (o *OwnerClient) Send(ctx context.Context, s action.Seal) error {
	err := error(&action.PeerUnknownError{Incarnation: s.Incarnation})
	sent := false
	for _, address := range o.sealPeers(s.Incarnation, sealHolders) {
		if e := o.g.Peers.SendSeal(ctx, address, s); e != nil {
			err = e
			continue
		}
		sent = true
	}
	if sent {
		return nil
	}
	return err
}

func (o *OwnerClient) sealPeers(incarnation string, n int) []string {
	addresses := make(map[string]string)
	var ids []string
	for _, p := range o.g.Membership.LivePeers(o.g.Board.Self.Region, time.Now()) {
		addresses[p.ID] = p.Address
		ids = append(ids, p.ID)
	}
	var out []string
	for _, id := range action.SealHolders(incarnation, ids, n) {
		out = append(out, addresses[id])
	}
	return out
}

// OwnerHandlers returns what this gateway does with peers' requests about
// actions.
func (g *Gateway) OwnerHandlers() peer.OwnerHandlers {
	return peer.OwnerHandlers{
		Run:     g.ownerRun,
		Outcome: g.ownerOutcome,
		Seal:    g.Actions.CachedSeal,
		Import:  g.Actions.ImportSeal,
	}
}

func (g *Gateway) ownerRun(ctx context.Context, req peer.OwnerRequest) peer.OwnerResponse {
	g.inFlight.Begin()
	defer g.inFlight.End()
	c, err := g.accept(req.Forward, nil, true)
	if err == nil && (req.Call == nil || req.Call.Customer != c.customerName) {
		err = failure.Refuse(failure.CodeBadRequest, "the call is not the customer's")
	}
	if err != nil {
		return refusalReply(action.WithUnknownOutcome(err))
	}
	ctx, span := g.startSpan(ctx, c)
	defer span.End()
	a, err := g.Actions.Do(withCall(ctx, c), g.lastMove(*req.Call, c))
	if err != nil {
		return refusalReply(err)
	}
	return peer.OwnerResponse{Response: &a}
}

// lastMove marks a call as one that may not be passed on again, unless it
// still has to go from a gateway of the owner's region to the owner.
func (g *Gateway) lastMove(c action.Call, from *call) action.Call {
	c.Forwarded = from.ownerMoves() == 0
	return c
}

func (g *Gateway) ownerOutcome(ctx context.Context, req peer.OwnerRequest) peer.OwnerResponse {
	c, err := g.accept(req.Forward, nil, true)
	if err == nil && (req.Query == nil || req.Query.Customer != c.customerName) {
		err = failure.Refuse(failure.CodeBadRequest, "the query is not the customer's")
	}
	if err != nil {
		return refusalReply(action.WithUnknownOutcome(err))
	}
	ctx, span := g.startSpan(ctx, c)
	defer span.End()
	q := *req.Query
	q.Forwarded = c.ownerMoves() == 0
	rec, err := g.Actions.Outcome(withCall(ctx, c), q)
	if err != nil {
		return refusalReply(err)
	}
	return peer.OwnerResponse{Record: &rec}
}

func refusalReply(err error) peer.OwnerResponse {
	return peer.OwnerResponse{Refusal: peer.NewRefusalMessage(failure.AsRefusal(err))}
}
