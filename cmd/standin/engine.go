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
	// defaultLeaveGrace is how long a stopping engine still takes new work,
	// so that gateways with a lagging view lose nothing.
	defaultLeaveGrace = 5 * time.Second
	// leaveTimeout bounds the wait for streams in flight at a stop.
	leaveTimeout = 2 * time.Minute
	// registerTimeout bounds one write to the instance list.
	registerTimeout = 5 * time.Second
)

// engineOptions are the settings of the engine command.
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
	sub.Description = "a model engine"
	listenFlags(sub, &o.listen, &o.admin)
	sub.String(&o.cfg.Instance.ID, "", "id", "the instance's id")
	sub.String(&o.cfg.Instance.Region, "", "region", "the instance's region")
	sub.String(&o.cfg.Instance.DataCentre, "", "data-centre", "the instance's data centre")
	sub.String(&o.cfg.Instance.Group, "", "group", "the endpoint group of the instance")
	sub.String(&o.register, "", "register", "URL of the instance list to register with, empty for none")
	sub.Float64(&o.cfg.Speed, "", "speed", "speed of the modelled engine, 1 is nominal")
	sub.Int(&o.cfg.Model.MaxBatch, "", "batch", "sequences that the modelled engine runs at once")
	sub.Int(&o.cfg.OutputTokens, "", "tokens", "length of answers for which the request sets no bound")
	sub.Duration(&o.cfg.TokenInterval, "", "token-interval", "emit tokens at this interval, with no queue, in place of the model")
	sub.Duration(&o.cfg.FirstTokenDelay, "", "first-token", "time to the first token with --token-interval")
	sub.Bool(&o.cfg.ChecksFencing, "", "checks-fencing", "refuse orders with an old fencing number")
	sub.Duration(&o.grace, "", "leave-grace", "how long a stopping engine still takes new work")
	return command{sub, func(ctx context.Context) error { return runEngine(ctx, o) }}
}

// runEngine serves until ctx is done, then leaves gracefully.
func runEngine(ctx context.Context, o engineOptions) error {
	o.cfg.Instance.Address = o.listen
	o.cfg.Instance.Incarnation = uuid.NewString()
	o.cfg.Instance.State = platform.InstanceLive
	s := engine.New(o.cfg)
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	served := make(chan error, 1)
	go func() {
		served <- serve.Run(serveCtx, o.listen, o.admin, serve.Handlers{Public: s.Handler(), Admin: s.AdminHandler(), Faults: s.Faults})
	}()
	list, err := registerEngine(ctx, o)
	if err != nil {
		return err
	}
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	leaveCtx, cancel := context.WithTimeout(serveCtx, leaveTimeout)
	defer cancel()
	err = s.Leave(leaveCtx, list, o.grace)
	stop()
	<-served
	return err
}

// registerEngine waits until the engine listens, then puts it on the list, if any,
// which it waits for as well.
func registerEngine(ctx context.Context, o engineOptions) (*engine.Registrar, error) {
	if o.register == "" {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := awaitListener(ctx, o.listen); err != nil {
		return nil, err
	}
	list := &engine.Registrar{URL: o.register, Client: &http.Client{Timeout: registerTimeout}}
	for {
		err := list.Put(ctx, o.cfg.Instance)
		if err == nil || ctx.Err() != nil {
			return list, err
		}
		time.Sleep(pollInterval)
	}
}

// pollInterval is how often awaitListener tries.
const pollInterval = 20 * time.Millisecond

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
