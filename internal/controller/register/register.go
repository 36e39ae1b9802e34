// Package register keeps this gateway in the directory for callers while it
// serves, and takes it out when it drains.
package register

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var (
	failures   = telemetry.NewCounter("register_failures", "calls", "calls on the directory for callers that failed")
	registered = telemetry.NewCounter("register_registered", "gateways", "1 while the directory holds this gateway, as far as it knows")
)

// The waits of the controller.
const (
	// ttl is how long the directory keeps an entry that is not renewed.
	ttl = 15 * time.Second
	// renewEvery is the time between two renewals.
	renewEvery = 5 * time.Second
	// retryEvery is the time between two tries after a failure.
	retryEvery = time.Second
	// lastTry bounds the removal when the process ends.
	lastTry = 2 * time.Second
)

// Config is what the controller needs.
type Config struct {
	Board     *blackboard.Board
	Directory platform.Directory
	Log       *log.Logger
}

// Controller registers the gateway.
type Controller struct {
	Config
	// present says that the directory may hold the gateway.
	present bool
	failing bool
}

// New returns a controller.
func New(c Config) *Controller { return &Controller{Config: c} }

// Name implements controller.Controller.
func (c *Controller) Name() string { return "register" }

// Run implements controller.Controller. It makes one call at a time, so that a
// removal is never overtaken by an earlier renewal that still has a connection.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for ctx.Err() == nil {
		state, changed := c.Board.Lifecycle.Watch()
		next := c.step(ctx, state)
		timer := time.NewTimer(next)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	c.leave()
	return nil
}

// step makes the call that the state asks for and returns when to look again.
func (c *Controller) step(ctx context.Context, state blackboard.Lifecycle) time.Duration {
	switch {
	case state == blackboard.Serving:
		return c.enter(ctx)
	case c.present:
		return c.remove(ctx)
	default:
		return renewEvery
	}
}

func (c *Controller) enter(ctx context.Context) time.Duration {
	self := c.Board.Self
	c.present = true
	err := c.Directory.Register(ctx, platform.Registration{
		Instance: self.ID,
		Region:   self.Region,
		Address:  self.CallerAddress,
	}, ttl)
	c.note(err)
	if err != nil {
		return retryEvery
	}
	registered.Set(1)
	return renewEvery
}

// remove takes the gateway out. An entry whose removal fails ends by its ttl.
func (c *Controller) remove(ctx context.Context) time.Duration {
	err := c.Directory.Deregister(ctx, c.Board.Self.ID)
	c.note(err)
	if err != nil {
		return retryEvery
	}
	c.present = false
	registered.Set(0)
	return renewEvery
}

// leave makes a last try to take the gateway out.
func (c *Controller) leave() {
	if !c.present {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), lastTry)
	defer cancel()
	c.remove(ctx)
}

// note counts a failure and logs the first one of a row and its end.
func (c *Controller) note(err error) {
	if err != nil {
		failures.Inc()
	}
	if (err != nil) == c.failing {
		return
	}
	c.failing = err != nil
	if c.failing {
		c.Log.Warn("directory not reachable", "err", err)
		return
	}
	c.Log.Info("directory reachable")
}
