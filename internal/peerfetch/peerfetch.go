// Package peerfetch lets gateways fetch endpoint entries and the configuration
// from their peers. A gateway does so when the heartbeat of a peer announces
// something new. The protocol is HTTP with JSON, on the listener for peers.
package peerfetch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"goji.io"
	"goji.io/pat"

	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/readlag"
	"github.com/hickorystage/hickorystage/internal/transfer"
	"github.com/hickorystage/hickorystage/internal/transport"
)

// URL paths.
const (
	pathEndpoints = "/v1/endpoints"
	pathRoutes    = "/v1/routes"
	pathStatus    = "/v1/store-status"
)

// paramSince is the parameter of pathEndpoints for the fingerprint of the entries that the
// sender has, in hexadecimal digits.
const paramSince = "since"

const (
	// fetchSilence is the longest time of a fetch without a byte of the response, without the
	// time by which this process is behind its sockets. Except at their start, gateways fetch
	// only from peers in their own region.
	fetchSilence = 700 * time.Millisecond
	// minBytesPerSecond is the least rate of a response. Links carry five times that or more.
	minBytesPerSecond = 256 << 10
	// maxResponseBytes limits the size of a response; a configuration has at
	// most 1 MB.
	maxResponseBytes = 4 << 20
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 5 * time.Second
)

// StatusError reports that a peer responded with an HTTP status other than 200.
// The status is 404 if the peer does not have the data yet.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("peer responded with status %d", e.Status)
}

// ResponseTooLongError reports that a peer's response has more than maxResponseBytes.
type ResponseTooLongError struct{ Address string }

// Error implements error.
func (e *ResponseTooLongError) Error() string {
	return fmt.Sprintf("the response of peer %s has more than %d bytes", e.Address, maxResponseBytes)
}

// Sources holds the functions that return the data a gateway serves to its
// peers. They may be called concurrently.
type Sources struct {
	// Endpoints returns the entries of all endpoints, or nil while they are not
	// known.
	Endpoints func() []fleet.Endpoint
	// EndpointsSince returns the changes of the entries since they had the given fingerprint,
	// and whether they are known. If it is nil, all entries are sent each time.
	EndpointsSince func(fingerprint uint64) (fleet.EntryChanges, bool)
	// Routes returns the configuration in force as operators wrote it, or nil
	// if there is none.
	Routes func() []byte
	// StoreStatus returns what the gateway knows of the store's content, or nil
	// while it lacks the endpoints or the configuration.
	StoreStatus func() *fleet.StoreStatus
}

// Handler serves the data of s to peers.
func Handler(s Sources) http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(pathEndpoints), func(w http.ResponseWriter, r *http.Request) {
		if changes, ok := s.changesFor(r); ok {
			_ = json.NewEncoder(w).Encode(changes)
			return
		}
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
		// A write error means that the peer closed the connection.
		_, _ = w.Write(body)
	})
	var compressed compressedRoutes
	mux.HandleFunc(pat.Get(pathRoutes), func(w http.ResponseWriter, r *http.Request) {
		body := s.Routes()
		if body == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if r.Header.Get("Accept-Encoding") == encodingGzip {
			w.Header().Set("Content-Encoding", encodingGzip)
			body = compressed.of(body)
		}
		_, _ = w.Write(body)
	})
	mux.HandleFunc(pat.Get(pathStatus), func(w http.ResponseWriter, _ *http.Request) {
		status := s.StoreStatus()
		if status == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(status)
	})
	return mux
}

// changesFor returns the changes of the entries since the state that a request names.
func (s Sources) changesFor(r *http.Request) (fleet.EntryChanges, bool) {
	fingerprint, err := strconv.ParseUint(r.URL.Query().Get(paramSince), 16, 64)
	if err != nil || s.EndpointsSince == nil {
		return fleet.EntryChanges{}, false
	}
	return s.EndpointsSince(fingerprint)
}

// Client fetches data from peers. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	readLag readlag.Func
}

// NewClient returns a client that opens connections with dial. readLag may be nil.
func NewClient(dial func(ctx context.Context, network, address string) (net.Conn, error), readLag readlag.Func) *Client {
	return &Client{readLag: readLag, http: &http.Client{
		Transport: transport.NewCheckedTransport(&http.Transport{
			DialContext: dial, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: transport.MaxResponseHeaderBytes,
		}),
	}}
}

// FetchEndpoints returns the endpoint entries known to the peer at address, given
// as host:port.
func (c *Client) FetchEndpoints(ctx context.Context, address string) ([]fleet.Endpoint, error) {
	body, err := c.fetch(ctx, address, pathEndpoints)
	if err != nil {
		return nil, err
	}
	var out []fleet.Endpoint
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, errors.Wrap(err, "decode endpoints of peer")
	}
	return out, nil
}

// FetchEndpointsSince returns what has changed of the endpoint entries known to the peer at
// address, given as host:port, since they had the given fingerprint. If the peer doesn't know
// that, changes is nil and all has all entries.
func (c *Client) FetchEndpointsSince(ctx context.Context, address string, fingerprint uint64) (changes *fleet.EntryChanges, all []fleet.Endpoint, err error) {
	body, err := c.fetch(ctx, address, pathEndpoints+"?"+paramSince+"="+strconv.FormatUint(fingerprint, 16))
	if err != nil {
		return nil, nil, err
	}
	if bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) {
		err = json.Unmarshal(body, &changes)
	} else {
		err = json.Unmarshal(body, &all)
	}
	return changes, all, errors.Wrap(err, "decode endpoints of peer")
}

// FetchStoreStatus returns what the peer at address, given as host:port, knows of the
// store's content.
func (c *Client) FetchStoreStatus(ctx context.Context, address string) (fleet.StoreStatus, error) {
	body, err := c.fetch(ctx, address, pathStatus)
	if err != nil {
		return fleet.StoreStatus{}, err
	}
	var out fleet.StoreStatus
	if err := json.Unmarshal(body, &out); err != nil {
		return fleet.StoreStatus{}, errors.Wrap(err, "decode store status of peer")
	}
	return out, nil
}

// FetchRoutes returns the configuration in force at the peer at address, given
// as host:port. The configuration is returned as operators wrote it.
func (c *Client) FetchRoutes(ctx context.Context, address string) ([]byte, error) {
	return c.fetch(ctx, address, pathRoutes)
}

func (c *Client) fetch(ctx context.Context, address, path string) ([]byte, error) {
	limit := transfer.Limit{Silence: func() time.Duration { return c.readLag.Extend(fetchSilence) }, BytesPerSecond: minBytesPerSecond}
	ctx, call := limit.Start(ctx, 0)
	defer call.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request to peer")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.WithStack(call.Err(err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.WithStack(&StatusError{Status: resp.StatusCode})
	}
	body, err := io.ReadAll(io.LimitReader(call.Reader(resp.Body), maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(call.Err(err), "read response of peer")
	}
	if len(body) > maxResponseBytes {
		return nil, errors.WithStack(&ResponseTooLongError{Address: address})
	}
	return body, nil
}
