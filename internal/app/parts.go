package app

import (
	"context"
	"slices"
	"time"

	"github.com/hickorystage/hickorystage/internal/action"
	"github.com/hickorystage/hickorystage/internal/action/sender"
	"github.com/hickorystage/hickorystage/internal/backoff"
	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/gateway"
	"github.com/hickorystage/hickorystage/internal/httpmeta"
	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
)

// InvalidIntentError reports that the files of a revision are not a valid
// configuration.
type InvalidIntentError struct{ Diagnostics intent.Diagnostics }

// Error implements error.
func (e *InvalidIntentError) Error() string { return e.Diagnostics.String() }

// newIntentParser returns a function that parses the files of a revision. It
// parses only the files that have changed since the call before.
func newIntentParser() func(files []revision.File) (*intent.Intent, error) {
	parser := intent.NewCachingParser()
	return func(files []revision.File) (*intent.Intent, error) {
		input := make([]intent.File, 0, len(files))
		for _, f := range files {
			input = append(input, intent.File{Name: f.Name, Content: f.Content})
		}
		parsed, diagnostics := parser.Parse(input)
		if diagnostics.HasFaults() {
			return nil, &InvalidIntentError{Diagnostics: diagnostics}
		}
		return parsed, nil
	}
}

func (a *App) newActions(store platform.Store) *action.Manager {
	owners := gateway.NewOwnerClient(a.gateway)
	actionSender := sender.New(&actionPicker{board: a.board, pauses: a.signals.Pauses}, sender.DefaultLimits(), a.network.Dial)
	actionSender.OnSignals(func(ep sender.Endpoint, s httpmeta.Signals, err error) {
		a.signals.Record(ep.ID, ep.Incarnation, s, err)
	})
	return action.New(action.Config{
		Incarnation: a.board.Self.Incarnation,
		Dispatcher:  actionSender,
		Store:       store,
		Forwarder:   owners,
		SealSender:  owners,
		Admitter:    gateway.ActionAdmitter{Admission: a.gateway.Admission},
		Log:         a.logger,
	})
}

// actionPicker picks the endpoint of an action among those of this region that
// are not leaving and take requests now. Rendezvous hashing of the action ID gives
// the order of preference.
type actionPicker struct {
	board  *blackboard.Board
	pauses *backoff.Tracker[string]
}

// Pick implements sender.Picker.
func (p *actionPicker) Pick(_ context.Context, request action.DispatchRequest, tried []string) (sender.Endpoint, error) {
	current := p.board.Intent.Get().Intent
	service, ok := current.Services[request.Service]
	if !ok {
		return sender.Endpoint{}, failure.Refuse(failure.CodeUnknownService, "no service %q", request.Service)
	}
	call, ok := service.Calls[request.Name]
	if !ok {
		return sender.Endpoint{}, failure.Refuse(failure.CodeUnknownService, "service %q has no call %q", request.Service, request.Name)
	}
	e, soonest, ok := p.pickEndpoint(service.Group, request.ActionID, tried)
	if !ok {
		refusal := failure.Refuse(failure.CodeNoEndpoint, "no endpoint of %q takes a connection", service.Group)
		if soonest > 0 {
			refusal = refusal.WithRetryAfter(backoff.ReturnAfter(soonest, request.ActionID))
		}
		return sender.Endpoint{}, refusal
	}
	return sender.Endpoint{
		ID:            e.ID,
		Incarnation:   e.Incarnation,
		Address:       e.Address,
		Method:        call.Method,
		Path:          call.Path,
		ChecksFencing: current.Groups[service.Group].ChecksFencingToken,
	}, nil
}

// pickEndpoint returns an endpoint of the group that is not in tried. If there is none,
// soonest is the time until the first is back that has asked for a pause, 0 if none has.
func (p *actionPicker) pickEndpoint(group, key string, tried []string) (e blackboard.EndpointState, soonest time.Duration, ok bool) {
	var ids []string
	p.board.Endpoints.Range(func(id string, e blackboard.EndpointState) bool {
		if e.Group == group && !e.Leaving && !slices.Contains(tried, id) {
			ids = append(ids, id)
		}
		return true
	})
	now := time.Now()
	for _, id := range rendezvous.Top(key, ids, len(ids)) {
		e, known := p.board.Endpoints.Get(id)
		switch {
		case !known:
		case p.pauses.TryAdmit(id, e.Incarnation, now):
			return e, 0, true
		default:
			if remaining := p.pauses.Remaining(id, e.Incarnation, now); soonest == 0 || remaining < soonest {
				soonest = remaining
			}
		}
	}
	return blackboard.EndpointState{}, soonest, false
}
