// Package memory is the controller that gives memory back to the operating
// system after a change of configuration: reading one leaves many times its
// own size behind.
package memory

import (
	"runtime/debug"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
)

// Times of the controller.
const (
	// settle is the wait after a change, in which the revision before is let go.
	settle = 2 * time.Second
	// pause is the shortest time between two releases.
	pause = 10 * time.Second
)

// Controller releases memory after changes of configuration.
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
	released := uint64(0)
	wait := settle
	for {
		state, changed := c.board.Intent.Watch()
		if state.Revision == released {
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
		released = c.board.Intent.Get().Revision
		c.release()
		wait = pause
	}
}
