package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"goji.io/pat"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/relay"
)

const servicesPathPrefix = "/v1/services/"

// service handles requests for the idempotent calls of services.
func (g *Gateway) service(w http.ResponseWriter, r *http.Request, c *call) error {
	name := pat.Param(r, "service")
	spec, ok := c.state.Intent.Services[name]
	if !ok {
		return failure.Refuse(failure.CodeUnknownService, "no service %q", name)
	}
	path := strings.TrimPrefix(r.URL.Path, servicesPathPrefix+name)
	if !isIdempotentCall(spec, r.Method, path) {
		return failure.Refuse(failure.CodeForbidden, "%s %s is not a repeatable call of %q; use /v1/actions", r.Method, path, name)
	}
	release, err := g.acquireCustomerLimit(c)
	if err != nil {
		return err
	}
	defer release()
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := http.Header{}
	if ct := r.Header.Get("Content-Type"); ct != "" {
		header.Set("Content-Type", ct)
	}
	key := quarantine.HashRequest(quarantine.Request{Service: name, Account: c.customerName, Method: r.Method, Target: path, Body: [][]byte{c.body}})
	hold := g.Memory.Open(memory.Response)
	defer hold.Close()
	resp, _, err := g.Relay.Call(r.Context(), relay.ServiceRequest{
		RequestID: c.id,
		Customer:  c.customerName,
		Method:    r.Method,
		Path:      path,
		Header:    header,
		Body:      c.body,
		Hold:      hold,
		RepeatKey: key,
	}, (&servicePicker{g: g, call: c, service: name, group: spec.Group, repeatKey: key}).pick)
	if err != nil {
		return err
	}
	c.releaseBody()
	if ct := resp.Header.Get("Content-Type"); ct != "" {
		w.Header().Set("Content-Type", ct)
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
	return nil
}

func isIdempotentCall(s intent.Service, method, path string) bool {
	for _, call := range s.Calls {
		if call.Idempotent && call.Method == method && call.Path == path {
			return true
		}
	}
	return false
}

// servicePicker chooses the targets of one service call: an endpoint of this
// region or, if there is none, a gateway of another permitted region that has
// one. It looks for such a gateway at most once.
type servicePicker struct {
	g                *Gateway
	call             *call
	service          string
	group            string
	repeatKey        quarantine.Key
	forwardAttempted bool
}

// pick implements relay.Picker. It checks the permitted regions of the current
// configuration, which may have changed since the call arrived.
func (p *servicePicker) pick(_ context.Context, tried map[string]bool) (relay.Target, error) {
	if err := p.g.heldRefusal(p.repeatKey); err != nil {
		return relay.Target{}, err
	}
	p.call = p.call.narrowedTo(p.g.Board.Intent.Get())
	if !p.call.permitted[p.g.Board.Self.Region] {
		return relay.Target{}, failure.Refuse(failure.CodeResidencyNotPermitted, "this region may not process the customer's data")
	}
	if e, ok := p.g.randomLocalEndpoint(p.group, tried); ok {
		return endpointTarget(e), nil
	}
	if p.forwardAttempted || p.call.regionHopsLeft() == 0 {
		return relay.Target{}, p.g.afterPauses(noEndpointRefusal(p.group), p.call.id, p.group)
	}
	p.forwardAttempted = true
	for _, region := range p.g.regionsWithGroup(p.group, p.call) {
		if gw, ok := p.g.gatewayInRegion(region, p.call, tried); ok {
			return p.g.peerTarget(gw, p.call, servicesPathPrefix+p.service), nil
		}
	}
	return relay.Target{}, p.g.afterPauses(noEndpointRefusal(p.group), p.call.id, p.group)
}

// regionsWithGroup returns the permitted regions, of those that the blackboard has
// a summary of, that have endpoints of a group: the home region first, then by
// name.
func (g *Gateway) regionsWithGroup(group string, c *call) []string {
	var regions []string
	g.Board.Regions.Range(func(region string, s blackboard.RegionSummary) bool {
		if c.permitted[region] && s.Groups[group].Endpoints > 0 {
			regions = append(regions, region)
		}
		return true
	})
	return sortHomeFirst(regions, c.customer.HomeRegion)
}

// randomLocalEndpoint returns a random one of the group's endpoints of this
// region that are not leaving, take requests now and have not been tried.
func (g *Gateway) randomLocalEndpoint(group string, tried map[string]bool) (blackboard.EndpointState, bool) {
	var candidates []blackboard.EndpointState
	g.Board.Endpoints.Range(func(id string, e blackboard.EndpointState) bool {
		if e.Group == group && !e.Leaving && !tried[id] {
			candidates = append(candidates, e)
		}
		return true
	})
	now := time.Now()
	for _, i := range rand.Perm(len(candidates)) {
		if e := candidates[i]; g.Pauses.TryAdmit(e.ID, e.Incarnation, now) {
			return e, true
		}
	}
	return blackboard.EndpointState{}, false
}
