package service

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/engine"
)

// Process runs a service as a process of the platform.
type Process struct {
	Config Config
	// ListenAddress is the address of the service itself; the instance list shows it.
	ListenAddress string
	// AdminAddress is where AdminHandler is served, empty for nowhere.
	AdminAddress string
	// Instance is the entry in the instance list. The caller sets ID, Group,
	// Region and DataCentre; Run sets Address, Incarnation and State.
	Instance platform.Instance
	// InstanceListURLs holds the base URLs of the instance lists in which to
	// register.
	InstanceListURLs []string
	// LeaveGrace is how long a stopping service still accepts new calls, so that
	// gateways with an outdated list aren't refused.
	LeaveGrace time.Duration
}

const (
	// registerTimeout bounds one change of the instance lists, with its retries.
	registerTimeout = 2 * time.Second
	// shutdownTimeout bounds the wait for calls in flight.
	shutdownTimeout = 30 * time.Second
)

// Run serves until ctx is done, then marks the instance as leaving, waits for
// LeaveGrace, removes it from the instance lists, completes the calls in flight
// and returns. The error is that of a listener, a server or the shutdown.
func (p Process) Run(ctx context.Context) error {
	s := New(p.Config)
	public, err := net.Listen("tcp", p.ListenAddress)
	if err != nil {
		return err
	}
	servers := []*http.Server{{Handler: s.Handler()}}
	listeners := []net.Listener{s.Faults.Listener(public)}
	if p.AdminAddress != "" {
		admin, err := net.Listen("tcp", p.AdminAddress)
		if err != nil {
			return err
		}
		servers = append(servers, &http.Server{Handler: s.AdminHandler()})
		listeners = append(listeners, admin)
	}
	g, running := errgroup.WithContext(context.WithoutCancel(ctx))
	for i, server := range servers {
		g.Go(func() error { return serve(server, listeners[i]) })
	}
	g.Go(func() error {
		p.runLifecycle(ctx, running, s)
		return shutdown(servers)
	})
	return g.Wait()
}

// runLifecycle registers the instance. When ctx is done it marks it as leaving,
// waits for LeaveGrace and removes it from the instance lists. It returns early if
// running is done, which means that a server has failed.
func (p Process) runLifecycle(ctx, running context.Context, s *Server) {
	p.Instance.Address = p.ListenAddress
	p.Instance.Incarnation = uuid.NewString()
	p.Instance.State = platform.InstanceLive
	p.updateInstanceLists(ctx, func(ctx context.Context, r engine.Registrar) error { return r.Put(ctx, p.Instance) })
	select {
	case <-ctx.Done():
	case <-running.Done():
		return
	}
	s.SetLeaving()
	p.Instance.State = platform.InstanceLeaving
	p.updateInstanceLists(running, func(ctx context.Context, r engine.Registrar) error { return r.Put(ctx, p.Instance) })
	select {
	case <-time.After(p.LeaveGrace):
	case <-running.Done():
	}
	p.updateInstanceLists(running, func(ctx context.Context, r engine.Registrar) error { return r.Delete(ctx, p.Instance.ID) })
}

// updateInstanceLists calls fn for every instance list, with retries until it
// succeeds or registerTimeout has passed. A list that can't be reached is skipped,
// since the service works without it.
func (p Process) updateInstanceLists(ctx context.Context, fn func(context.Context, engine.Registrar) error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	var g errgroup.Group
	for _, url := range p.InstanceListURLs {
		r := engine.Registrar{URL: url, Client: http.DefaultClient}
		g.Go(func() error {
			for fn(ctx, r) != nil && sleep(ctx, registerRetryInterval) {
			}
			return nil
		})
	}
	_ = g.Wait()
}

// registerRetryInterval is the delay between two attempts to update an instance
// list.
const registerRetryInterval = 100 * time.Millisecond

// sleep waits for d. It returns false if ctx was done first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func serve(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// shutdown stops the servers once their requests in flight have been served, at
// the latest after shutdownTimeout.
func shutdown(servers []*http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			return err
		}
	}
	return nil
}
