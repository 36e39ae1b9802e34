package app

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
)

// Bounds on the end of a graceful shutdown: the wait for actions that go on
// without their callers, and the handing over of their records.
const (
	sealTimeout     = 5 * time.Second
	handOverTimeout = 3 * time.Second
)

// CutOffError says that a shutdown ended requests that were under way.
type CutOffError struct{ Requests int }

// Error implements error.
func (e *CutOffError) Error() string {
	return fmt.Sprintf("shutdown cut off %d requests in flight", e.Requests)
}

// shutdown stops gracefully: it takes no new work, finishes what is in flight,
// seals the action records and closes the listeners. It returns the number of
// requests that were cut off.
func (a *App) shutdown(forceStop <-chan struct{}) int {
	deadline := time.NewTimer(a.settings.DrainTimeout)
	defer deadline.Stop()
	a.board.Lifecycle.Set(blackboard.Draining)
	a.logger.Info("draining")
	a.actions.Drain()
	cutOff := a.finishInFlight(forceStop, deadline.C)
	cutOff += a.sealActions()
	a.waitLameDuckPeriod(forceStop)
	a.board.Lifecycle.Set(blackboard.Stopped)
	a.logger.Info("stopped", "cut_off", cutOff)
	return cutOff
}

// close ends what is left: the listeners, the parts' own goroutines and the
// idle connections.
func (a *App) close() {
	a.closeServers()
	_ = a.actions.Stop()
	_ = a.relay.Close()
	for _, closeIdle := range a.closers {
		closeIdle()
	}
}

// finishInFlight waits until no request is under way.
func (a *App) finishInFlight(forceStop <-chan struct{}, deadline <-chan time.Time) int {
	for {
		idle, n := a.gateway.InFlight()
		if n == 0 {
			return 0
		}
		select {
		case <-idle:
		case <-forceStop:
			return n
		case <-deadline:
			return n
		}
	}
}

// sealActions waits for the actions that go on without their callers and hands
// the records over. It returns the number of actions that were cut off.
func (a *App) sealActions() int {
	ctx, cancel := context.WithTimeout(context.Background(), sealTimeout)
	defer cancel()
	report := a.actions.Seal(ctx, handOverTimeout)
	a.logger.Info("action records sealed", "runs", report.RangeCount, "peer", report.SentToPeer, "store", report.WrittenToStore)
	return report.Unfinished
}

// waitLameDuckPeriod goes on refusing truthfully for a moment, so that callers and peers
// that have not heard yet are told where to go.
func (a *App) waitLameDuckPeriod(forceStop <-chan struct{}) {
	select {
	case <-time.After(lameDuckPeriod):
	case <-forceStop:
	}
}

func (a *App) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), lameDuckPeriod)
	defer cancel()
	for _, s := range []*http.Server{a.callerServer, a.adminServer, a.peerServer} {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
}
