package app

import (
	"context"
	"fmt"
	"time"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/httpserver"
)

// Timeouts at the end of a graceful shutdown: sealTimeout limits the wait for
// actions that are still running after their callers have gone, handoverTimeout
// the writing of pending outcomes and the handover of the records together.
const (
	sealTimeout     = 5 * time.Second
	handoverTimeout = 3 * time.Second
)

// CutOffError reports that a shutdown cut off requests in flight.
type CutOffError struct{ Requests int }

// Error implements error.
func (e *CutOffError) Error() string {
	return fmt.Sprintf("shutdown cut off %d requests in flight", e.Requests)
}

// shutdown drains the gateway: it refuses new requests, waits for the requests in
// flight, hands over the action records, and goes on refusing for the lame duck
// period. It returns the number of requests and actions that were cut off.
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

// close closes the servers, the goroutines of the action manager and the relay,
// and the idle connections.
func (a *App) close() {
	a.closeServers()
	_ = a.actions.Stop()
	_ = a.relay.Close()
	for _, closeIdle := range a.closers {
		closeIdle()
	}
}

// finishInFlight waits until all requests have ended that were in flight when the drain
// began, and returns 0, or the number of requests in flight when forceStop is closed or
// the deadline passes. Requests that arrive meanwhile are refused; it doesn't wait for
// those.
func (a *App) finishInFlight(forceStop <-chan struct{}, deadline <-chan time.Time) int {
	idle, _ := a.gateway.InFlight()
	select {
	case <-idle:
		return 0
	case <-forceStop:
	case <-deadline:
	}
	_, n := a.gateway.InFlight()
	return n
}

// sealActions waits for the actions that are still running after their callers
// have gone, and hands the action records over to a peer or the store. It returns
// the number of actions that were cut off.
func (a *App) sealActions() int {
	ctx, cancel := context.WithTimeout(context.Background(), sealTimeout)
	defer cancel()
	report := a.actions.Seal(ctx, handoverTimeout)
	a.logger.Info("action records sealed", "runs", report.RangeCount, "peer", report.ImportedByPeer, "store", report.WrittenToStore)
	return report.Unfinished
}

// waitLameDuckPeriod keeps the servers open for lameDuckPeriod or until forceStop
// is closed. Callers and peers that have not yet learned of the shutdown get a
// refusal that names other gateways instead of a failed connection.
func (a *App) waitLameDuckPeriod(forceStop <-chan struct{}) {
	select {
	case <-time.After(lameDuckPeriod):
	case <-forceStop:
	}
}

func (a *App) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), lameDuckPeriod)
	defer cancel()
	for _, s := range []*httpserver.Server{a.callerServer, a.adminServer, a.peerServer} {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
}
