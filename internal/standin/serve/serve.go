// Package serve runs a stand-in's handlers on its two listeners.
package serve

import (
	"context"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	"github.com/hickorystage/hickorystage/internal/standin/fault"
)

// Handlers are the two sides of a stand-in.
type Handlers struct {
	// Public serves the stand-in's protocol; Faults apply to its connections.
	Public http.Handler
	Admin  http.Handler
	Faults *fault.Switches
}

// Run serves on addr, and on adminAddr unless it is empty, until ctx is done.
func Run(ctx context.Context, addr, adminAddr string, h Handlers) error {
	g, ctx := errgroup.WithContext(ctx)
	public, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	g.Go(func() error { return serve(ctx, h.Faults.Listener(public), h.Public) })
	if adminAddr == "" {
		return g.Wait()
	}
	admin, err := net.Listen("tcp", adminAddr)
	if err != nil {
		_ = public.Close()
		return err
	}
	g.Go(func() error { return serve(ctx, admin, h.Admin) })
	return g.Wait()
}

// serve runs one HTTP server and closes it with its connections when ctx ends.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); ctx.Err() == nil {
		return err
	}
	return nil
}
