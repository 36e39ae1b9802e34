package gateway

import (
	"context"
	"encoding/base64"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/peer"
)

// incarnationSeparator separates the region, the instance and the random part
// of an incarnation id.
const incarnationSeparator = "_"

// A seal is sent to sealCopies peers and looked up at sealLookupPeers. More are
// asked than hold it, because gateways that join or leave in between change the
// ranking of the peers.
const (
	sealCopies      = 3
	sealLookupPeers = 6
)

// NewIncarnation returns an incarnation id that contains its region, so that
// any gateway can tell which region the owner of a ticket is in.
func NewIncarnation(region, instance, random string) string {
	return strings.Join([]string{region, instance, random}, incarnationSeparator)
}

func incarnationRegion(incarnation string) string {
	region, _, _ := strings.Cut(incarnation, incarnationSeparator)
	return region
}

// OwnerClient sends requests to the gateways that own tickets, and seals to the
// peers that hold them. It implements action.Forwarder and action.SealSender.
type OwnerClient struct{ g *Gateway }

// NewOwnerClient returns a client that uses the peers that g knows. The fields
// of g may be set after this call, but before the client is used.
func NewOwnerClient(g *Gateway) *OwnerClient { return &OwnerClient{g: g} }

// callContextKey is the context key of the call that an action belongs to.
type callContextKey struct{}

func contextWithCall(ctx context.Context, c *call) context.Context {
	return context.WithValue(ctx, callContextKey{}, c)
}

// ForwardAction implements action.Forwarder.
func (o *OwnerClient) ForwardAction(ctx context.Context, incarnation string, c action.Call) (action.Response, error) {
	resp, err := o.sendToOwner(ctx, incarnation, peer.PathActionRun, peer.OwnerRequest{Call: &c})
	if err != nil {
		return action.Response{}, err
	}
	if resp.Response == nil {
		return action.Response{}, maybeSentError(incarnation, &peer.MalformedResponseError{})
	}
	return *resp.Response, nil
}

// ForwardOutcome implements action.Forwarder.
func (o *OwnerClient) ForwardOutcome(ctx context.Context, incarnation string, q action.Query) (action.Record, error) {
	resp, err := o.sendToOwner(ctx, incarnation, peer.PathActionOutcome, peer.OwnerRequest{Query: &q})
	if err != nil {
		return action.Record{}, err
	}
	if resp.Record == nil {
		return action.Record{}, maybeSentError(incarnation, &peer.MalformedResponseError{})
	}
	return *resp.Record, nil
}

// sendToOwner sends a request to the next gateway on the path to the owner of a
// ticket.
func (o *OwnerClient) sendToOwner(ctx context.Context, incarnation, path string, req peer.OwnerRequest) (peer.OwnerResponse, error) {
	c, ok := ctx.Value(callContextKey{}).(*call)
	if !ok || c.ownerHopsLeft() == 0 {
		return peer.OwnerResponse{}, &action.PeerUnknownError{Incarnation: incarnation}
	}
	address, fwd, err := o.nextHop(incarnation, c)
	if err != nil {
		return peer.OwnerResponse{}, err
	}
	req.Owner = incarnation
	req.Forward = fwd
	hold := o.g.openCopies(c)
	defer hold.Close()
	if req.Call != nil {
		// The body is sent as base64 in JSON.
		hold.Charge(int64(base64.StdEncoding.EncodedLen(len(req.Call.Body))))
	}
	resp, err := o.g.Peers.SendOwnerRequest(ctx, address, path, req)
	if err != nil {
		return peer.OwnerResponse{}, unreachableError(incarnation, err)
	}
	if resp.Refusal != nil {
		return peer.OwnerResponse{}, resp.Refusal.Refusal()
	}
	return resp, nil
}

// nextHop returns the address of the next gateway on the path to the owner of a
// ticket, and the description of the request for it. The next gateway is the
// owner itself, or a gateway of the owner's region if the owner is not known
// here.
func (o *OwnerClient) nextHop(incarnation string, c *call) (string, peer.Forward, error) {
	self := o.g.Board.Self
	c = c.narrowedTo(o.g.Board.Intent.Get())
	region := incarnationRegion(incarnation)
	if !c.permitted[region] {
		return "", peer.Forward{}, failure.New(failure.CodeResidencyNotPermitted, failure.Unknown, "the ticket is of a region that may not process the customer's data")
	}
	if region != self.Region && c.regionHopsLeft() == 0 {
		return "", peer.Forward{}, &action.PeerUnknownError{Incarnation: incarnation}
	}
	if p, ok := o.g.Membership.PeerByIncarnation(incarnation); ok {
		return p.Address, c.forward(self.ID, 0, 0), nil
	}
	if region == self.Region {
		return "", peer.Forward{}, &action.PeerUnknownError{Incarnation: incarnation}
	}
	gw, ok := o.g.gatewayInRegion(region, c, nil)
	if !ok {
		return "", peer.Forward{}, &action.PeerUnknownError{Incarnation: incarnation}
	}
	return gw.Address, c.forward(self.ID, 0, 1), nil
}

func unreachableError(incarnation string, err error) error {
	var notSent *peer.NotSentError
	if errors.As(err, &notSent) {
		return &action.PeerUnreachableError{Incarnation: incarnation, Cause: err}
	}
	return maybeSentError(incarnation, err)
}

func maybeSentError(incarnation string, err error) error {
	return &action.PeerUnreachableError{Incarnation: incarnation, MaybeSent: true, Cause: err}
}

// FindSeal implements action.Forwarder.
func (o *OwnerClient) FindSeal(ctx context.Context, incarnation string) (action.Seal, error) {
	var transportErr error
	for _, p := range o.sealPeerAddresses(incarnation, sealLookupPeers) {
		seal, err := o.g.Peers.FetchSeal(ctx, p, incarnation)
		if err == nil {
			return seal, nil
		}
		var status *peer.StatusError
		if !errors.As(err, &status) {
			transportErr = err
		}
	}
	if transportErr != nil {
		return action.Seal{}, unreachableError(incarnation, transportErr)
	}
	return action.Seal{}, &action.PeerUnknownError{Incarnation: incarnation}
}

// Send implements action.SealSender.
func (o *OwnerClient) Send(ctx context.Context, s action.Seal) error {
	err := error(&action.PeerUnknownError{Incarnation: s.Incarnation})
	sent := false
	for _, address := range o.sealPeerAddresses(s.Incarnation, sealCopies) {
		if sendErr := o.g.Peers.SendSeal(ctx, address, s); sendErr != nil {
			err = sendErr
			continue
		}
		sent = true
	}
	if sent {
		return nil
	}
	return err
}

func (o *OwnerClient) sealPeerAddresses(incarnation string, n int) []string {
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

// OwnerHandlers returns the handlers of peers' requests about actions and
// seals.
func (g *Gateway) OwnerHandlers() peer.OwnerHandlers {
	return peer.OwnerHandlers{
		Run:     g.handleOwnerRun,
		Outcome: g.handleOwnerOutcome,
		Seal:    g.Actions.CachedSeal,
		Import:  g.Actions.ImportSeal,
	}
}

func (g *Gateway) handleOwnerRun(ctx context.Context, req peer.OwnerRequest) peer.OwnerResponse {
	g.inFlight.Begin()
	defer g.inFlight.End()
	c, err := g.accept(req.Forward, nil, true)
	if err == nil && (req.Call == nil || req.Call.Customer != c.customerName) {
		err = failure.Refuse(failure.CodeBadRequest, "the call is not the customer's")
	}
	if err != nil {
		return refusalResponse(action.WithUnknownOutcome(err))
	}
	ctx, span := g.startSpan(ctx, c)
	defer span.End()
	resp, err := g.Actions.Do(contextWithCall(ctx, c), g.markFinalHop(*req.Call, c))
	if err != nil {
		return refusalResponse(err)
	}
	return peer.OwnerResponse{Response: &resp}
}

// markFinalHop marks a call as not to be forwarded again, unless it has an
// owner hop left, which takes it from a gateway of the owner's region to the
// owner.
func (g *Gateway) markFinalHop(c action.Call, from *call) action.Call {
	c.Forwarded = from.ownerHopsLeft() == 0
	return c
}

func (g *Gateway) handleOwnerOutcome(ctx context.Context, req peer.OwnerRequest) peer.OwnerResponse {
	c, err := g.accept(req.Forward, nil, true)
	if err == nil && (req.Query == nil || req.Query.Customer != c.customerName) {
		err = failure.Refuse(failure.CodeBadRequest, "the query is not the customer's")
	}
	if err != nil {
		return refusalResponse(action.WithUnknownOutcome(err))
	}
	ctx, span := g.startSpan(ctx, c)
	defer span.End()
	q := *req.Query
	q.Forwarded = c.ownerHopsLeft() == 0
	record, err := g.Actions.Outcome(contextWithCall(ctx, c), q)
	if err != nil {
		return refusalResponse(err)
	}
	return peer.OwnerResponse{Record: &record}
}

func refusalResponse(err error) peer.OwnerResponse {
	return peer.OwnerResponse{Refusal: peer.NewRefusalMessage(failure.AsRefusal(err))}
}
