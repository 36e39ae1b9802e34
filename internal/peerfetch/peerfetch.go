// Package peerfetch carries what gateways fetch from each other when a beat
// says that there is something new: the endpoints' entries and the
// configuration. HTTP with JSON, on the listener for gateways.
package peerfetch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"goji.io"
	"goji.io/pat"

	"github.com/hickorystage/hickorystage/internal/fleet"
)

// Paths of what is fetched.
const (
	pathEndpoints = "/v1/endpoints"
	pathRoutes    = "/v1/routes"
)

const (
	// fetchTimeout bounds a fetch. Gateways fetch from those of their own
	// region, but at their start.
	fetchTimeout = 700 * time.Millisecond
	// maxBytes bounds what is fetched; a configuration has at most 1 MB.
	maxBytes = 4 << 20
	// idleTimeout closes a connection that was not used for so long.
	idleTimeout = 5 * time.Second
)

// StatusError says that a gateway did not give what was asked for.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("gateway answered %d", e.Status) }

// Sources is what a gateway gives to others.
type Sources struct {
	// Endpoints returns the entries of all endpoints, nil while they are not
	// known.
	Endpoints func() []fleet.Endpoint
	// Routes returns the configuration in force as operators wrote it, nil if
	// there is none.
	Routes func() []byte
}

// Handler answers fetches.
func Handler(s Sources) http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(pathEndpoints), func(w http.ResponseWriter, _ *http.Request) {
		endpoints := s.Endpoints()
		if endpoints == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		body, err := json.Marshal(endpoints)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		// An error of the write means that the other gateway is gone.
		_, _ = w.Write(body)
	})
	mux.HandleFunc(pat.Get(pathRoutes), func(w http.ResponseWriter, _ *http.Request) {
		body := s.Routes()
		if body == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(body)
	})
	return mux
}

// Client fetches from other gateways.
type Client struct{ http *http.Client }

// NewClient returns a client that connects by dial.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	return &Client{http: &http.Client{
		Timeout:   fetchTimeout,
		Transport: &http.Transport{DialContext: dial, IdleConnTimeout: idleTimeout, DisableCompression: true},
	}}
}

// FetchEndpoints returns the entries that the gateway at address knows.
func (c *Client) FetchEndpoints(ctx context.Context, address string) ([]fleet.Endpoint, error) {
	body, err := c.fetch(ctx, address, pathEndpoints)
	if err != nil {
		return nil, err
	}
	var out []fleet.Endpoint
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, errors.Wrap(err, "decode endpoints")
	}
	return out, nil
}

// FetchRoutes returns the configuration that the gateway at address holds, as
// operators wrote it.
func (c *Client) FetchRoutes(ctx context.Context, address string) ([]byte, error) {
	return c.fetch(ctx, address, pathRoutes)
}

func (c *Client) fetch(ctx context.Context, address, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.WithStack(&StatusError{Status: resp.StatusCode})
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	return body, errors.Wrap(err, "read answer")
}
