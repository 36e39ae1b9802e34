// Package stats is the controller that logs the counters periodically, so that
// the log alone shows what a gateway did before it stopped.
package stats

import (
	"time"

	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// interval is the time between two log lines.
const interval = 10 * time.Second

// Controller logs the counters every interval and once more when it stops.
type Controller struct {
	logger *log.Logger
	last   map[string]int64
}

// New returns the controller.
func New(logger *log.Logger) *Controller {
	return &Controller{logger: logger, last: make(map[string]int64)}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "stats" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			c.logCounters()
			return nil
		case <-ticker.C:
			c.logCounters()
		}
	}
}

// logCounters logs the totals of the counters that changed since the last line.
func (c *Controller) logCounters() {
	var fields []any
	for _, counter := range telemetry.Counters() {
		if v := counter.Value(); v != c.last[counter.Name] {
			c.last[counter.Name] = v
			fields = append(fields, counter.Name, v)
		}
	}
	c.logger.Info("counters", fields...)
}
