package platform_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/directory"
	"github.com/hickorystage/hickorystage/internal/standin/fault"
	"github.com/hickorystage/hickorystage/internal/standin/kv"
	"github.com/hickorystage/hickorystage/internal/standin/memnet"
)

// serveMemory serves h on an in-memory listener behind the switches, and
// returns client options that reach it and the number of dials made.
func serveMemory(t *testing.T, h http.Handler, faults *fault.Switches) (platform.Options, *atomic.Int64) {
	l := memnet.Listen("service")
	server := &http.Server{Handler: h}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(faults.Listener(l))
	}()
	t.Cleanup(func() { _ = server.Close(); <-served })
	var dials atomic.Int64
	return platform.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return l.Dial(ctx, network, address)
	}, IdleTimeout: time.Minute}, &dials
}

func newStore(t *testing.T) (*kv.Server, *platform.HTTPStore, *atomic.Int64) {
	server := kv.New(kv.Limits{})
	opts, dials := serveMemory(t, server.Handler(), server.Faults)
	return server, platform.NewHTTPStore("http://store", opts), dials
}

func version(v uint64) *uint64 { return &v }

func TestStoreRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		_, store, _ := newStore(t)
		e, err := store.Put(ctx, "config/a b%2F?x", []byte("one"), platform.PutOptions{IfVersion: version(0)})
		require.NoError(t, err)
		require.Equal(t, platform.Entry{Key: "config/a b%2F?x", Value: []byte("one"), Version: 1}, e)

		_, err = store.Put(ctx, e.Key, []byte("two"), platform.PutOptions{IfVersion: version(0)})
		require.Equal(t, &platform.ConflictError{Key: e.Key, Actual: 1}, err)
		require.Equal(t, &platform.ConflictError{Key: e.Key, Actual: 1}, store.Delete(ctx, e.Key, version(7)))

		entries, err := store.List(ctx, "config/")
		require.NoError(t, err)
		require.Len(t, entries, 1)

		require.NoError(t, store.Delete(ctx, e.Key, version(1)))
		_, err = store.Get(ctx, e.Key)
		require.Equal(t, &platform.NotFoundError{Key: e.Key}, err)
	})
}

func TestLeaseRemovesItsKeysWhenItEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		_, store, _ := newStore(t)
		id, err := store.Grant(ctx, 10*time.Second)
		require.NoError(t, err)
		_, err = store.Put(ctx, "k", []byte("v"), platform.PutOptions{Lease: id})
		require.NoError(t, err)
		time.Sleep(9 * time.Second)
		require.NoError(t, store.KeepAlive(ctx, id))
		time.Sleep(9 * time.Second)
		_, err = store.Get(ctx, "k")
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		_, err = store.Get(ctx, "k")
		require.Equal(t, &platform.NotFoundError{Key: "k"}, err)
		require.Equal(t, &platform.NotFoundError{Key: string(id)}, store.KeepAlive(ctx, id))
		_, err = store.Put(ctx, "k", nil, platform.PutOptions{Lease: id})
		require.Equal(t, &platform.NotFoundError{Key: string(id)}, err)
	})
}

func TestWatchWaitsForAHigherVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		server, store, _ := newStore(t)
		start := time.Now()
		_, err := store.Watch(ctx, "k", 0, time.Second)
		require.Equal(t, &platform.NotFoundError{Key: "k"}, err)
		require.Equal(t, time.Second, time.Since(start))

		go func() {
			time.Sleep(2 * time.Second)
			_, _ = server.Store.Put("k", []byte("v"), platform.PutOptions{})
		}()
		e, err := store.Watch(ctx, "k", 0, time.Minute)
		require.NoError(t, err)
		require.Equal(t, uint64(1), e.Version)
		require.Equal(t, 3*time.Second, time.Since(start))
		require.Equal(t, int64(2), server.Calls().Calls[kv.CallWatch])
	})
}

// TestFaultsOfCalls runs each kind of call under each fault of its connection
// and checks what the client says of it, and that a write never runs twice.
func TestFaultsOfCalls(t *testing.T) {
	warm := func(t *testing.T, store *platform.HTTPStore) {
		_, err := store.Put(t.Context(), "warm", []byte("x"), platform.PutOptions{})
		require.NoError(t, err)
	}
	cases := []struct {
		name    string
		setting fault.Setting
		// reads says that a read succeeds; applied is the version of the key
		// that the write leaves; maybe is what the client says of the write.
		reads   bool
		applied uint64
		maybe   bool
		limit   time.Duration
	}{
		{"request lost", fault.Setting{Kind: fault.DropRequest, Count: 1}, true, 0, true, 0},
		{"answer lost after the effect", fault.Setting{Kind: fault.DropResponse, Count: 1}, true, 1, true, 0},
		{"connection silent", fault.Setting{Kind: fault.Silent}, true, 0, true, 3 * time.Second},
		{"answer cut", fault.Setting{Kind: fault.Truncate, Count: 1, Bytes: 9}, true, 1, true, 0},
		{"frozen", fault.Setting{Kind: fault.Freeze}, false, 0, true, 6 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name+"/read", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, store, _ := newStore(t)
				warm(t, store)
				require.NoError(t, server.Faults.Set(c.setting))
				start := time.Now()
				e, err := store.Get(t.Context(), "warm")
				require.Equal(t, c.limit, time.Since(start))
				if c.reads {
					require.NoError(t, err)
					require.Equal(t, uint64(1), e.Version)
					return
				}
				var u *platform.UnavailableError
				require.ErrorAs(t, err, &u)
				require.False(t, u.MaybeApplied)
			})
		})
		t.Run(c.name+"/write", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, store, _ := newStore(t)
				warm(t, store)
				require.NoError(t, server.Faults.Set(c.setting))
				start := time.Now()
				_, err := store.Put(t.Context(), "k", []byte("v"), platform.PutOptions{IfVersion: version(0)})
				require.LessOrEqual(t, time.Since(start), 3*time.Second)
				var u *platform.UnavailableError
				require.ErrorAs(t, err, &u)
				require.Equal(t, c.maybe, u.MaybeApplied)
				e, _ := server.Store.Get("k")
				require.Equal(t, c.applied, e.Version)

				server.Faults.Reset()
				start = time.Now()
				_, err = store.Get(t.Context(), "warm")
				require.NoError(t, err, "the next call goes out on a working connection")
				require.Zero(t, time.Since(start))
			})
		})
	}
}

// TestSilentSiblings checks that one silence costs one limit, however many idle
// connections went silent with it.
func TestSilentSiblings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, store, dials := newStore(t)
		done := make(chan error)
		for range 4 {
			go func() {
				_, err := store.Watch(t.Context(), "k", 0, time.Second)
				done <- err
			}()
		}
		for range 4 {
			<-done
		}
		require.Equal(t, int64(4), dials.Load())
		require.NoError(t, server.Faults.Set(fault.Setting{Kind: fault.Silent}))
		start := time.Now()
		_, err := store.Put(t.Context(), "k", nil, platform.PutOptions{})
		var u *platform.UnavailableError
		require.ErrorAs(t, err, &u)
		require.True(t, u.MaybeApplied)
		_, err = store.Put(t.Context(), "k", nil, platform.PutOptions{})
		require.NoError(t, err)
		require.Equal(t, 3*time.Second, time.Since(start))
	})
}

// TestRefusedDialIsNotApplied checks that a write that never left is known not
// to have taken effect.
func TestRefusedDialIsNotApplied(t *testing.T) {
	l := memnet.Listen("store")
	require.NoError(t, l.Close())
	store := platform.NewHTTPStore("http://store", platform.Options{Dial: l.Dial})
	_, err := store.Put(t.Context(), "k", nil, platform.PutOptions{})
	var u *platform.UnavailableError
	require.ErrorAs(t, err, &u)
	require.False(t, u.MaybeApplied)
}

// TestClosedPooledConnection closes pooled connections under writes at two
// moments. Before a byte left, the transport may send the write again; after
// that it must not.
func TestClosedPooledConnection(t *testing.T) {
	var served atomic.Int64
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if served.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	dir := platform.NewHTTPDirectory("http://"+l.Addr().String(), platform.Options{})
	reg := platform.Registration{Instance: "g1"}
	require.NoError(t, dir.Register(t.Context(), reg, time.Second))
	err = dir.Register(t.Context(), reg, time.Second)
	var u *platform.UnavailableError
	require.ErrorAs(t, err, &u)
	require.True(t, u.MaybeApplied)
	require.Equal(t, int64(2), served.Load(), "the transport did not send the write again")
}

func TestOverloadAndBadAnswers(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		maybe  bool
	}{
		{"too many", http.StatusTooManyRequests, "", false},
		{"overloaded", http.StatusServiceUnavailable, "", false},
		{"bad gateway", http.StatusBadGateway, "", true},
		{"not JSON", http.StatusOK, "<html>", true},
		{"another key", http.StatusOK, `{"key":"other","version":1}`, true},
		{"conflict without a version", http.StatusConflict, "", false},
		{"redirect", http.StatusFound, "", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				opts, _ := serveMemory(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Location", "http://elsewhere/")
					w.WriteHeader(c.status)
					_, _ = w.Write([]byte(c.body))
				}), fault.New())
				_, err := platform.NewHTTPStore("http://store", opts).Put(t.Context(), "k", nil, platform.PutOptions{})
				var u *platform.UnavailableError
				require.ErrorAs(t, err, &u)
				require.Equal(t, c.maybe, u.MaybeApplied)
			})
		})
	}
}

func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := kv.New(kv.Limits{Reads: 5, Writes: 1})
		opts, _ := serveMemory(t, server.Handler(), server.Faults)
		store := platform.NewHTTPStore("http://store", opts)
		var refused int
		for range 10 {
			if _, err := store.List(t.Context(), ""); err != nil {
				refused++
			}
		}
		require.Equal(t, 5, refused)
		require.Equal(t, int64(5), server.Calls().Refused)
	})
}

func TestDirectoryAndLaggingList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		server := directory.New(2 * time.Second)
		opts, _ := serveMemory(t, server.Handler(), server.Faults)
		dir := platform.NewHTTPDirectory("http://directory", opts)
		list := platform.NewHTTPInstanceList("http://directory", opts)

		reg := platform.Registration{Instance: "g1", Region: "svealand", Address: "127.0.0.1:8000"}
		require.NoError(t, dir.Register(ctx, reg, 10*time.Second))
		found, err := dir.Lookup(ctx)
		require.NoError(t, err)
		require.Equal(t, []platform.Registration{reg}, found)

		server.PutInstance(platform.Instance{ID: "e1", Region: "svealand", State: platform.InstanceLive})
		found2, err := list.Instances(ctx, "svealand")
		require.NoError(t, err)
		require.Empty(t, found2)
		time.Sleep(2 * time.Second)
		found2, err = list.Instances(ctx, "svealand")
		require.NoError(t, err)
		require.Len(t, found2, 1)
		found2, err = list.Instances(ctx, "norrland")
		require.NoError(t, err)
		require.Empty(t, found2)

		time.Sleep(8 * time.Second)
		found, err = dir.Lookup(ctx)
		require.NoError(t, err)
		require.Empty(t, found)
	})
}
