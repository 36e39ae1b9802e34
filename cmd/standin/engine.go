package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/engine"
	"github.com/hickorystage/hickorystage/internal/standin/model"
	"github.com/hickorystage/hickorystage/internal/standin/serve"
)

const (
	// defaultLeaveGrace is how long an engine that is shutting down still accepts
	// new requests, so that gateways with a stale view lose none.
	defaultLeaveGrace = 5 * time.Second
	// leaveTimeout limits the wait for streams in flight at shutdown.
	leaveTimeout = 2 * time.Minute
	// registerTimeout limits the time to register with the instance list, and
	// each request to it.
	registerTimeout = 5 * time.Second
)

// engineOptions are the flags of the engine command.
type engineOptions struct {
	listen, admin string
	register      string
	grace         time.Duration
	cfg           engine.Config
}

func engineCommand() command {
	o := engineOptions{listen: "127.0.0.1:7200", grace: defaultLeaveGrace}
	o.cfg = engine.Config{Speed: 1, Model: model.DefaultConfig(), OutputTokens: engine.DefaultOutputTokens}
	o.cfg.Instance = platform.Instance{ID: "engine-1", Group: "engines", Region: "svealand"}
	sub := flaggy.NewSubcommand("engine")
	sub.Description = "a simulated LLM inference engine"
	listenFlags(sub, &o.listen, &o.admin)
	sub.String(&o.cfg.Instance.ID, "", "id", "the instance's id")
	sub.String(&o.cfg.Instance.Region, "", "region", "the instance's region")
	sub.String(&o.cfg.Instance.DataCentre, "", "data-centre", "the instance's data centre")
	sub.String(&o.cfg.Instance.Group, "", "group", "the endpoint group of the instance")
	sub.String(&o.register, "", "register", "URL of the instance list to register with, empty for none")
	sub.Float64(&o.cfg.Speed, "", "speed", "speed of the simulated engine, 1 is nominal")
	sub.Int(&o.cfg.Model.MaxBatch, "", "batch", "largest batch of the simulated engine, in sequences")
	sub.Int(&o.cfg.OutputTokens, "", "tokens", "length of responses in tokens, if the request has no max_tokens")
	sub.Duration(&o.cfg.TokenInterval, "", "token-interval", "emit tokens at this interval, without a queue, in place of the simulation")
	sub.Duration(&o.cfg.FirstTokenDelay, "", "first-token", "time to the first token with --token-interval")
	sub.Bool(&o.cfg.ChecksFencing, "", "checks-fencing", "refuse orders with an outdated fencing token")
	sub.Duration(&o.grace, "", "leave-grace", "how long an engine that is shutting down still accepts new requests")
	return command{sub, func(ctx context.Context) error { return runEngine(ctx, o) }}
}

// runEngine serves until ctx is done, then shuts down gracefully: it accepts new
// requests for the grace period and finishes the streams in flight.
func runEngine(ctx context.Context, o engineOptions) error {
	o.cfg.Instance.Address = o.listen
	o.cfg.Instance.Incarnation = uuid.NewString()
	o.cfg.Instance.State = platform.InstanceLive
	s := engine.New(o.cfg)
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	serveErr := make(chan error, 1)
	go func() {
		serveErr <- serve.Run(serveCtx, o.listen, o.admin, serve.Handlers{Public: s.Handler(), Admin: s.AdminHandler(), Faults: s.Faults})
	}()
	registrar, err := registerEngine(ctx, o)
	if err != nil {
		return err
	}
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	leaveCtx, cancel := context.WithTimeout(serveCtx, leaveTimeout)
	defer cancel()
	err = s.Leave(leaveCtx, registrar, o.grace)
	stop()
	<-serveErr
	return err
}

// registerEngine waits until the engine listens, then registers it with the
// instance list and retries until registerTimeout. It returns nil if o names no
// instance list.
func registerEngine(ctx context.Context, o engineOptions) (*engine.Registrar, error) {
	if o.register == "" {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := awaitListener(ctx, o.listen); err != nil {
		return nil, err
	}
	registrar := &engine.Registrar{URL: o.register, Client: &http.Client{Timeout: registerTimeout}}
	for {
		err := registrar.Put(ctx, o.cfg.Instance)
		if err == nil || ctx.Err() != nil {
			return registrar, err
		}
		time.Sleep(pollInterval)
	}
}

// pollInterval is the pause between two attempts to reach the engine's listener or
// the instance list.
const pollInterval = 20 * time.Millisecond

// awaitListener waits until address accepts connections.
func awaitListener(ctx context.Context, address string) error {
	for {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err == nil {
			return conn.Close()
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}
