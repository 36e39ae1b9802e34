package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"

	"goji.io/pat"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/relay"
)

const servicesPrefix = "/v1/services/"

// service serves the repeatable calls of plain services.
func (g *Gateway) service(w http.ResponseWriter, r *http.Request, c *call) error {
	name := pat.Param(r, "service")
	spec, ok := c.state.Intent.Services[name]
	if !ok {
		return failure.Refuse(failure.CodeUnknownService, "no service %q", name)
	}
	path := strings.TrimPrefix(r.URL.Path, servicesPrefix+name)
	if !repeatable(spec, r.Method, path) {
		return failure.Refuse(failure.CodeForbidden, "%s %s is not a repeatable call of %q; use /v1/actions", r.Method, path, name)
	}
	release, err := g.limit(c)
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
	resp, _, err := g.Relay.Call(r.Context(), relay.ServiceRequest{
		RequestID: c.id,
		Customer:  c.customerName,
		Method:    r.Method,
		Path:      path,
		Header:    header,
		Body:      c.body,
	}, (&servicePicker{g: g, call: c, service: name, group: spec.Group}).pick)
	if err != nil {
		return err
	}
	if ct := resp.Header.Get("Content-Type"); ct != "" {
		w.Header().Set("Content-Type", ct)
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
	return nil
}

func repeatable(s intent.Service, method, path string) bool {
	for _, call := range s.Calls {
		if call.Idempotent && call.Method == method && call.Path == path {
			return true
		}
	}
	return false
}

// servicePicker finds places for one call of a plain service: an endpoint of
// this region, or, when there is none, once a gateway of another permitted
// region that has one.
type servicePicker struct {
	g       *Gateway
	call    *call
	service string
	group   string
	moved   bool
}

// pick implements relay.Picker.
func (p *servicePicker) pick(_ context.Context, tried map[string]bool) (relay.Target, error) {
	p.call = p.call.under(p.g.Board.Intent.Get())
	if !p.call.permitted[p.g.Board.Self.Region] {
		return relay.Target{}, failure.Refuse(failure.CodeResidencyNotPermitted, "this region may not process the customer's data")
	}
	if e, ok := p.g.serviceEndpoint(p.group, tried); ok {
		return relay.Target{ID: e.ID, Group: e.Group, Region: e.Region, Address: e.Address}, nil
	}
	if p.moved || p.call.regionMoves() == 0 {
		return relay.Target{}, noEndpoint(p.group)
	}
	p.moved = true
	for _, region := range p.g.regionsWith(p.group, p.call) {
		if to, ok := p.g.gatewayOf(region, p.call, tried); ok {
			return p.g.peerTarget(to, p.call, servicesPrefix+p.service), nil
		}
	}
	return relay.Target{}, noEndpoint(p.group)
}

// regionsWith returns the other permitted regions that have endpoints of a
// group, the home region first, then by name.
func (g *Gateway) regionsWith(group string, c *call) []string {
	var regions []string
	g.Board.Regions.Range(func(region string, s blackboard.RegionSummary) bool {
		if c.permitted[region] && s.Groups[group].Endpoints > 0 {
			regions = append(regions, region)
		}
		return true
	})
	return homeFirst(regions, c.customer.HomeRegion)
}

// serviceEndpoint returns one of a group's endpoints of this region that stay,
// at random.
func (g *Gateway) serviceEndpoint(group string, tried map[string]bool) (blackboard.EndpointState, bool) {
	var usable []blackboard.EndpointState
	g.Board.Endpoints.Range(func(id string, e blackboard.EndpointState) bool {
		if e.Group == group && !e.Leaving && !tried[id] {
			usable = append(usable, e)
		}
		return true
	})
	if len(usable) == 0 {
		return blackboard.EndpointState{}, false
	}
	return usable[rand.IntN(len(usable))], true
}
