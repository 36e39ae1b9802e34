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

// Process is a service as a process on the platform.
type Process struct {
	Config        Config
	ListenAddress string
	// AdminAddress is the listener of the fault switches, empty for none.
	AdminAddress string
	// Instance is what the instance list shows; ID, Group, Region and
	// DataCentre are to be set.
	Instance platform.Instance
	// InstanceListURLs holds the base URLs of the instance lists to register with.
	InstanceListURLs []string
	// LeaveGrace is how long a stopping service still takes new calls, so that
	// gateways with an old list don't meet a closed door.
	LeaveGrace time.Duration
}

const (
	// registerTimeout bounds one call to the instance list.
	registerTimeout = 2 * time.Second
	// shutdownTimeout bounds the wait for calls in flight.
	shutdownTimeout = 30 * time.Second
)

// Run serves until ctx is done, marks the instance as leaving, and ends when
// nothing is in flight any more.
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
		p.live(ctx, running, s)
		return shutdown(servers)
	})
	return g.Wait()
}

// live registers the instance and returns when the service has left.
func (p Process) live(ctx, running context.Context, s *Server) {
	p.Instance.Address = p.ListenAddress
	p.Instance.Incarnation = uuid.NewString()
	p.Instance.State = platform.InstanceLive
	p.tell(ctx, func(ctx context.Context, r engine.Registrar) error { return r.Put(ctx, p.Instance) })
	select {
	case <-ctx.Done():
	case <-running.Done():
		return
	}
	s.SetLeaving()
	p.Instance.State = platform.InstanceLeaving
	p.tell(running, func(ctx context.Context, r engine.Registrar) error { return r.Put(ctx, p.Instance) })
	select {
	case <-time.After(p.LeaveGrace):
	case <-running.Done():
	}
	p.tell(running, func(ctx context.Context, r engine.Registrar) error { return r.Delete(ctx, p.Instance.ID) })
}

// tell calls every instance list until it answers or its time is over. A list
// that is away is passed over: the service works without it.
func (p Process) tell(ctx context.Context, fn func(context.Context, engine.Registrar) error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	var g errgroup.Group
	for _, base := range p.InstanceListURLs {
		r := engine.Registrar{URL: base, Client: http.DefaultClient}
		g.Go(func() error {
			for fn(ctx, r) != nil && sleep(ctx, registerPause) {
			}
			return nil
		})
	}
	_ = g.Wait()
}

// registerPause is the wait between two tries to register.
const registerPause = 100 * time.Millisecond

// sleep waits for d and reports whether ctx is still alive.
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

// shutdown closes the servers when their requests are answered.
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
