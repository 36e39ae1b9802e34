// Package reload is the controller that reads the settings of the site again
// when it is told to, and at a steady pace, since they may change unannounced.
package reload

import (
	"reflect"
	"time"

	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/settings"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// interval is the time between two looks at the settings. Changes that have to
// be in force sooner are announced.
const interval = 5 * time.Second

var (
	reloads = telemetry.NewCounter("settings_reloads", "reloads", "changed settings that were taken in")
	faults  = telemetry.NewCounter("settings_faults", "reads", "settings that could not be read again")
)

// Controller keeps the blackboard's site.
type Controller struct {
	board  *blackboard.Edge
	read   func() (*settings.Site, error)
	hangup <-chan struct{}
	logger *log.Logger
}

// New returns the controller. read returns the settings as they are now; a
// value on hangup asks to read them at once.
func New(board *blackboard.Edge, read func() (*settings.Site, error), hangup <-chan struct{}, logger *log.Logger) *Controller {
	return &Controller{board: board, read: read, hangup: hangup, logger: logger}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "reload" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-c.hangup:
			c.logger.Info("reload asked for")
		case <-ticker.C:
		}
		c.look()
	}
}

// look reads the settings. Faulty ones leave those in force as they are.
func (c *Controller) look() {
	next, err := c.read()
	if err != nil {
		faults.Inc()
		c.logger.Error("settings not usable, the old ones stay in force", "err", err)
		return
	}
	old := c.board.Site.Get()
	if reflect.DeepEqual(old, next) {
		return
	}
	if fixed := needRestart(old, next); len(fixed) > 0 {
		c.logger.Warn("changed settings that take a restart", "settings", fixed)
	}
	c.board.Site.Set(next)
	reloads.Inc()
	c.logger.Info("settings reloaded")
}

// needRestart names the changed settings that a running process can't take in.
func needRestart(old, next *settings.Site) []string {
	var out []string
	for _, s := range []struct{ name, old, next string }{
		{"instance", old.Instance, next.Instance},
		{"region", old.Region, next.Region},
		{"data centre", old.DataCentre, next.DataCentre},
		{"caller address", old.CallerAddress, next.CallerAddress},
		{"ready address", old.ReadyAddress, next.ReadyAddress},
		{"peer address", old.PeerAddress, next.PeerAddress},
		{"directory address", old.DirectoryAddress, next.DirectoryAddress},
		{"store address", old.StoreAddress, next.StoreAddress},
	} {
		if s.old != s.next {
			out = append(out, s.name)
		}
	}
	return out
}
