// Package memory is the controller that returns memory to the operating system
// after a change of the configuration: decoding one leaves garbage of many times
// its size.
package memory

import (
	"runtime/debug"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
)

// Intervals of the controller.
const (
	// settleDelay is the delay after a change, in which the users of the previous
	// revision drop it.
	settleDelay = 2 * time.Second
	// minInterval is the shortest time between two releases of memory.
	minInterval = 10 * time.Second
)

// Controller releases memory after changes of the configuration.
type Controller struct {
	board   *blackboard.Board
	release func()
}

// New returns the controller.
func New(board *blackboard.Board) *Controller {
	return &Controller{board: board, release: debug.FreeOSMemory}
}

// Name implements controller.Controller.
func (c *Controller) Name() string { return "memory" }

// Run implements controller.Controller.
func (c *Controller) Run(t *tomb.Tomb) error {
	releasedRevision := uint64(0)
	wait := settleDelay
	for {
		state, changed := c.board.Intent.Watch()
		if state.Revision == releasedRevision {
			select {
			case <-t.Dying():
				return nil
			case <-changed:
			}
			continue
		}
		select {
		case <-t.Dying():
			return nil
		case <-time.After(wait):
		}
		releasedRevision = c.board.Intent.Get().Revision
		c.release()
		wait = minInterval
	}
}
