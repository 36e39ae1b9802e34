// Package reload is the controller that reloads the settings of the site on request,
// and periodically, since they may also change without a request.
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

// pollInterval is the time between two periodic reads of the settings. Changes that
// have to be in force sooner come with a request to reload.
const pollInterval = 5 * time.Second

var (
	reloads      = telemetry.NewCounter("settings_reloads", "reloads", "changed settings applied")
	readFailures = telemetry.NewCounter("settings_faults", "reads", "failed reads of the settings")
)

// Controller keeps the site settings of the blackboard up to date.
type Controller struct {
	board           *blackboard.Edge
	readSettings    func() (*settings.PlatformSettings, error)
	settingsChanged <-chan struct{}
	logger          *log.Logger
}

// New returns the controller. readSettings returns the current settings. A value on
// settingsChanged requests a reload at once.
func New(board *blackboard.Edge, readSettings func() (*settings.PlatformSettings, error), settingsChanged <-chan struct{}, logger *log.Logger) *Controller {
	return &Controller{board: board, readSettings: readSettings, settingsChanged: settingsChanged, logger: logger}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "reload" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-c.settingsChanged:
			c.logger.Info("settings reload requested")
		case <-ticker.C:
		}
		c.reload()
	}
}

// reload reads the settings and applies them if they changed. If they are invalid,
// the previous ones stay in force.
func (c *Controller) reload() {
	next, err := c.readSettings()
	if err != nil {
		readFailures.Inc()
		c.logger.Error("invalid settings; keeping the previous ones", "err", err)
		return
	}
	old := c.board.Settings.Get()
	if reflect.DeepEqual(old, next) {
		return
	}
	if names := changesNeedingRestart(old, next); len(names) > 0 {
		c.logger.Warn("changed settings require a restart", "settings", names)
	}
	c.board.Settings.Set(next)
	reloads.Inc()
	c.logger.Info("settings reloaded")
}

// changesNeedingRestart returns the names of the changed settings that take effect
// after a restart of the process only.
func changesNeedingRestart(old, next *settings.PlatformSettings) []string {
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
