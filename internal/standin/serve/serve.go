// Package serve runs the HTTP servers of a stand-in: its public listener and,
// optionally, an admin listener.
package serve

import (
	"context"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	"github.com/hickorystage/hickorystage/internal/standin/fault"
)

// Handlers are the HTTP handlers of a stand-in's two listeners.
type Handlers struct {
	// Public serves the stand-in's protocol; Faults apply to its connections.
	Public http.Handler
	// Admin serves the fault switches, unaffected by faults.
	Admin  http.Handler
	Faults *fault.Switches
}

// Run serves on addr, and on adminAddr unless it is empty, until ctx is done. It
// returns nil then, and an error if a listener can't be opened or a server fails.
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

// serve runs one HTTP server. When ctx ends, it closes the server with all its
// connections and returns nil.
func serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(l); ctx.Err() == nil {
		return err
	}
	return nil
}
