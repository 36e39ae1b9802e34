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
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := http.Header{}
	if ct := r.Header.Get("Content-Type"); ct != "" {
		header.Set("Content-Type", ct)
	}
	resp, _, err := g.Relay.Call(r.Context(), relay.CallRequest{
		RequestID: c.id,
		Customer:  c.customerName,
		Method:    r.Method,
		Path:      path,
		Header:    header,
		Body:      c.body,
	}, g.servicePicker(spec.Group))
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
		if call.Repeatable && call.Method == method && call.Path == path {
			return true
		}
	}
	return false
}

// servicePicker chooses among a group's endpoints of this region at random.
func (g *Gateway) servicePicker(group string) relay.Picker {
	return func(_ context.Context, tried map[string]bool) (relay.Target, error) {
		e, ok := g.serviceEndpoint(group, tried)
		if !ok {
			return relay.Target{}, noEndpoint(group)
		}
		return relay.Target{ID: e.ID, Group: e.Group, Region: e.Region, Address: e.Address}, nil
	}
}

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
