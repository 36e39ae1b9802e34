// Package register is the controller that keeps this gateway registered in the
// directory for callers while it serves, and removes it when it drains.
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
	failures   = telemetry.NewCounter("register_failures", "calls", "failed calls to the caller directory")
	registered = telemetry.NewCounter("register_registered", "gateways", "1 while this gateway believes that the directory lists it")
)

const (
	// ttl is how long the directory keeps an entry that is not renewed.
	ttl = 15 * time.Second
	// renewInterval is the time between two renewals.
	renewInterval = 5 * time.Second
	// retryInterval is the time until the next attempt after a failure.
	retryInterval = time.Second
	// finalRemovalTimeout limits the removal when the process stops.
	finalRemovalTimeout = 2 * time.Second
)

// Config holds the dependencies of the controller. All fields are required.
type Config struct {
	Board     *blackboard.Board
	Directory platform.Directory
	Log       *log.Logger
}

// Controller registers the gateway.
type Controller struct {
	Config
	// maybeListed says that the directory may have an entry of this gateway.
	maybeListed bool
	failing     bool
}

// New returns a controller.
func New(c Config) *Controller { return &Controller{Config: c} }

// Name implements controller.Controller.
func (c *Controller) Name() string { return "register" }

// Run implements controller.Controller. It makes one call at a time, so that no
// earlier renewal that is still in flight can take effect after a removal.
func (c *Controller) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for ctx.Err() == nil {
		state, changed := c.Board.Lifecycle.Watch()
		wait := c.step(ctx, state)
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	c.deregisterAtStop()
	return nil
}

// step makes the directory call that the state requires and returns the time until
// the next step.
func (c *Controller) step(ctx context.Context, state blackboard.Lifecycle) time.Duration {
	switch {
	case state == blackboard.Serving:
		return c.register(ctx)
	case c.maybeListed:
		return c.deregister(ctx)
	default:
		return renewInterval
	}
}

func (c *Controller) register(ctx context.Context) time.Duration {
	self := c.Board.Self
	c.maybeListed = true
	err := c.Directory.Register(ctx, platform.Registration{
		Instance: self.ID,
		Region:   self.Region,
		Address:  self.CallerAddress,
	}, ttl)
	c.recordResult(err)
	if err != nil {
		return retryInterval
	}
	registered.Set(1)
	return renewInterval
}

// deregister removes the gateway from the directory. An entry that cannot be
// removed expires after its ttl.
func (c *Controller) deregister(ctx context.Context) time.Duration {
	err := c.Directory.Deregister(ctx, c.Board.Self.ID)
	c.recordResult(err)
	if err != nil {
		return retryInterval
	}
	c.maybeListed = false
	registered.Set(0)
	return renewInterval
}

// deregisterAtStop makes a final attempt to remove the gateway.
func (c *Controller) deregisterAtStop() {
	if !c.maybeListed {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), finalRemovalTimeout)
	defer cancel()
	c.deregister(ctx)
}

// recordResult counts failures, and logs when calls start to fail and when they
// succeed again.
func (c *Controller) recordResult(err error) {
	if err != nil {
		failures.Inc()
	}
	if (err != nil) == c.failing {
		return
	}
	c.failing = err != nil
	if c.failing {
		c.Log.Warn("caller directory unavailable", "err", err)
		return
	}
	c.Log.Info("caller directory available again")
}
