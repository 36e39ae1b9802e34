package platform_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/directory"
	"github.com/hickorystage/hickorystage/internal/standin/endless"
	"github.com/hickorystage/hickorystage/internal/standin/fault"
	"github.com/hickorystage/hickorystage/internal/standin/kv"
	"github.com/hickorystage/hickorystage/internal/standin/memnet"
)

// serveInMemory serves h on an in-memory listener with faults injected into its
// connections. It returns client options that dial the listener and a counter of
// the dials.
func serveInMemory(t *testing.T, h http.Handler, faults *fault.Switches) (platform.Options, *atomic.Int64) {
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
	opts, dials := serveInMemory(t, server.Handler(), server.Faults)
	return server, platform.NewHTTPStore("http://store", opts), dials
}

func version(v uint64) *uint64 { return &v }

func TestStorePutGetListDelete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		_, store, _ := newStore(t)
		e, err := store.Put(ctx, "config/a b%2F?x", []byte("one"), platform.PutOptions{IfVersion: version(0)})
		require.NoError(t, err)
		require.Equal(t, platform.Entry{Key: "config/a b%2F?x", Value: []byte("one"), Version: 1}, e)

		_, err = store.Put(ctx, e.Key, []byte("two"), platform.PutOptions{IfVersion: version(0)})
		require.Equal(t, &platform.ConflictError{Key: e.Key, ActualVersion: 1}, err)
		require.Equal(t, &platform.ConflictError{Key: e.Key, ActualVersion: 1}, store.Delete(ctx, e.Key, platform.DeleteOptions{IfVersion: version(7)}))

		entries, err := store.List(ctx, "config/")
		require.NoError(t, err)
		require.Len(t, entries, 1)

		require.NoError(t, store.Delete(ctx, e.Key, platform.DeleteOptions{IfVersion: version(1)}))
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

// TestCallsUnderConnectionFaults runs a read and a write under each fault of
// their connection. It checks what error the client returns, and that a write is
// never applied twice.
func TestCallsUnderConnectionFaults(t *testing.T) {
	putWarmKey := func(t *testing.T, store *platform.HTTPStore) {
		_, err := store.Put(t.Context(), "warm", []byte("x"), platform.PutOptions{})
		require.NoError(t, err)
	}
	cases := []struct {
		name    string
		setting fault.Setting
		// appliedVersion is the version of the key after the write, maybeApplied
		// the field of the write's error, and wantElapsed the time that the read
		// takes.
		readSucceeds   bool
		appliedVersion uint64
		maybeApplied   bool
		wantElapsed    time.Duration
	}{
		{"request lost", fault.Setting{Kind: fault.DropRequest, Count: 1}, true, 0, true, 0},
		{"response lost after the write was applied", fault.Setting{Kind: fault.DropResponse, Count: 1}, true, 1, true, 0},
		{"connection silent", fault.Setting{Kind: fault.Silent}, true, 0, true, 3 * time.Second},
		{"response truncated", fault.Setting{Kind: fault.Truncate, Count: 1, Bytes: 9}, true, 1, true, 0},
		{"service frozen", fault.Setting{Kind: fault.Freeze}, false, 0, true, 6 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name+"/read", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, store, _ := newStore(t)
				putWarmKey(t, store)
				require.NoError(t, server.Faults.Set(c.setting))
				start := time.Now()
				e, err := store.Get(t.Context(), "warm")
				require.Equal(t, c.wantElapsed, time.Since(start))
				if c.readSucceeds {
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
				putWarmKey(t, store)
				require.NoError(t, server.Faults.Set(c.setting))
				start := time.Now()
				_, err := store.Put(t.Context(), "k", []byte("v"), platform.PutOptions{IfVersion: version(0)})
				require.LessOrEqual(t, time.Since(start), 3*time.Second)
				var u *platform.UnavailableError
				require.ErrorAs(t, err, &u)
				require.Equal(t, c.maybeApplied, u.MaybeApplied)
				e, _ := server.Store.Get("k")
				require.Equal(t, c.appliedVersion, e.Version)

				server.Faults.Reset()
				start = time.Now()
				_, err = store.Get(t.Context(), "warm")
				require.NoError(t, err, "the next call must use a working connection")
				require.Zero(t, time.Since(start))
			})
		})
	}
}

// TestSilentSiblings checks that a call waits for one timeout only, even if
// several idle connections went silent at the same time.
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

// TestWriteIsNotAppliedIfDialIsRefused checks that the error of a write that was
// never sent says that it was not applied.
func TestWriteIsNotAppliedIfDialIsRefused(t *testing.T) {
	l := memnet.Listen("store")
	require.NoError(t, l.Close())
	store := platform.NewHTTPStore("http://store", platform.Options{Dial: l.Dial})
	_, err := store.Put(t.Context(), "k", nil, platform.PutOptions{})
	var u *platform.UnavailableError
	require.ErrorAs(t, err, &u)
	require.False(t, u.MaybeApplied)
}

// TestWriteIsNotResentAfterConnectionIsAborted aborts a pooled connection after
// the server has received a write on it. http.Transport may resend a write by
// itself only if no byte of it was written.
func TestWriteIsNotResentAfterConnectionIsAborted(t *testing.T) {
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
	require.Equal(t, int64(2), served.Load(), "the transport resent the write")
}

func TestErrorResponsesReportWhetherWriteMayBeApplied(t *testing.T) {
	cases := []struct {
		name         string
		status       int
		body         string
		maybeApplied bool
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
				opts, _ := serveInMemory(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Location", "http://elsewhere/")
					w.WriteHeader(c.status)
					_, _ = w.Write([]byte(c.body))
				}), fault.New())
				_, err := platform.NewHTTPStore("http://store", opts).Put(t.Context(), "k", nil, platform.PutOptions{})
				var u *platform.UnavailableError
				require.ErrorAs(t, err, &u)
				require.Equal(t, c.maybeApplied, u.MaybeApplied)
			})
		})
	}
}

func TestReadsAboveRateLimitFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := kv.New(kv.Limits{Reads: 5, Writes: 1})
		opts, _ := serveInMemory(t, server.Handler(), server.Faults)
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

func TestRegistrationsExpireAndInstanceListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		server := directory.New(2 * time.Second)
		opts, _ := serveInMemory(t, server.Handler(), server.Faults)
		dir := platform.NewHTTPDirectory("http://directory", opts)
		list := platform.NewHTTPInstanceList("http://directory", opts)

		reg := platform.Registration{Instance: "g1", Region: "svealand", Address: "127.0.0.1:8000"}
		require.NoError(t, dir.Register(ctx, reg, 10*time.Second))
		registrations, err := dir.Lookup(ctx)
		require.NoError(t, err)
		require.Equal(t, []platform.Registration{reg}, registrations)

		server.PutInstance(platform.Instance{ID: "e1", Region: "svealand", State: platform.InstanceLive})
		instances, err := list.Instances(ctx, "svealand")
		require.NoError(t, err)
		require.Empty(t, instances)
		time.Sleep(2 * time.Second)
		instances, err = list.Instances(ctx, "svealand")
		require.NoError(t, err)
		require.Len(t, instances, 1)
		instances, err = list.Instances(ctx, "norrland")
		require.NoError(t, err)
		require.Empty(t, instances)

		time.Sleep(8 * time.Second)
		registrations, err = dir.Lookup(ctx)
		require.NoError(t, err)
		require.Empty(t, registrations)
	})
}

// TestOddInstanceKeepsNoOtherOut guards against a list that isn't followed any more because
// of one entry of another writer.
func TestOddInstanceKeepsNoOtherOut(t *testing.T) {
	for _, odd := range []string{
		`7`, `"x"`, `null`, `{"id":7}`, `{"id":""}`, `{"id":"odd","address":"10.0.0.1:70000"}`, `{"id":"odd","address":"10.0.0.1:0"}`,
		`{"id":"odd","address":"10.0.0.1"}`, `{"id":"odd","incarnation":1e999}`, `{"id":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `[{"id":"e1","address":"10.0.0.1:80"},`+odd+`,{"id":"e2","address":"host:80"}]`)
		}))
		instances, err := platform.NewHTTPInstanceList(server.URL, platform.Options{}).Instances(t.Context(), "svealand")
		server.Close()
		require.NoError(t, err, "%.60s", odd)
		require.Equal(t, []platform.Instance{{ID: "e1", Address: "10.0.0.1:80"}, {ID: "e2", Address: "host:80"}}, instances, "%.60s", odd)
	}
}

// TestStoreNamesItsEra guards against a restore of the store that its users don't notice, and
// against writes that rest on what was read before it.
func TestStoreNamesItsEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		server, store, _ := newStore(t)
		require.Zero(t, store.Era(), "no response has named one")
		_, err := store.Put(ctx, "k", []byte("one"), platform.PutOptions{})
		require.NoError(t, err)
		require.Equal(t, platform.Era{Number: 1}, store.Era())
		copied := server.Store.Dump()
		_, err = store.Put(ctx, "k", []byte("two"), platform.PutOptions{IfVersion: version(1), Era: 1})
		require.NoError(t, err)
		lease, err := store.Grant(ctx, time.Hour)
		require.NoError(t, err)

		server.Store.Restore(copied)
		restoredAt := time.Now()
		time.Sleep(5 * time.Second)
		restored := &platform.RestoredError{Want: 1, Got: 2}
		_, err = store.Put(ctx, "k", []byte("three"), platform.PutOptions{IfVersion: version(1), Era: 1})
		require.Equal(t, restored, err)
		require.Equal(t, restored, store.Delete(ctx, "k", platform.DeleteOptions{IfVersion: version(1), Era: 1}))
		require.Equal(t, platform.Era{Number: 2, BeganAt: restoredAt}, store.Era())
		require.Equal(t, &platform.NotFoundError{Key: string(lease)}, store.KeepAlive(ctx, lease))
		next, err := store.Grant(ctx, time.Hour)
		require.NoError(t, err)
		require.NotEqual(t, lease, next)
		e, err := store.Put(ctx, "k", []byte("three"), platform.PutOptions{IfVersion: version(1), Era: 2})
		require.NoError(t, err)
		require.Equal(t, uint64(2), e.Version, "versions are given out again")
		_, err = store.Get(ctx, "missing")
		require.Error(t, err)

		other := platform.NewHTTPStore("http://store", platform.Options{Dial: dialerOf(t, server)})
		_, err = other.Get(ctx, "missing")
		require.Equal(t, &platform.NotFoundError{Key: "missing"}, err)
		require.Equal(t, platform.Era{Number: 2, BeganAt: restoredAt}, other.Era(), "also to one that comes later")
	})
}

// dialerOf returns a function that connects to a server of its own for the same store.
func dialerOf(t *testing.T, server *kv.Server) func(context.Context, string, string) (net.Conn, error) {
	opts, _ := serveInMemory(t, server.Handler(), server.Faults)
	return opts.Dial
}

// TestResponsesOfAnEraThatIsOver guards against taking the content of a store from before a
// restore for its present one.
func TestResponsesOfAnEraThatIsOver(t *testing.T) {
	era := "7"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(platform.HeaderEra, era)
		_, _ = io.WriteString(w, `{"key":"k","version":1}`)
	}))
	t.Cleanup(server.Close)
	store := platform.NewHTTPStore(server.URL, platform.Options{})
	before := time.Now()
	_, err := store.Get(t.Context(), "k")
	require.NoError(t, err)
	require.Equal(t, uint64(7), store.Era().Number)
	require.False(t, store.Era().BeganAt.Before(before), "a restore whose time isn't told counts from now")
	era = "6"
	_, err = store.Put(t.Context(), "k", nil, platform.PutOptions{})
	var unavailable *platform.UnavailableError
	require.ErrorAs(t, err, &unavailable)
	require.True(t, unavailable.MaybeApplied)
	var restored *platform.RestoredError
	require.ErrorAs(t, err, &restored)
	require.Equal(t, uint64(7), store.Era().Number)
	for _, odd := range []string{"", "x", "-1", "99999999999999999999999"} {
		era = odd
		_, err = store.Get(t.Context(), "k")
		require.NoError(t, err, odd)
		require.Equal(t, uint64(7), store.Era().Number)
	}
}

// TestEndlessResponsesOfTheServices guards against a store or directory whose response never
// ends. A call fails within its timeout.
func TestEndlessResponsesOfTheServices(t *testing.T) {
	// A read is tried twice, each time up to the limit of a list and what the buffers of the
	// sockets hold.
	const maxTaken = 2 * (32<<20 + 16<<20)
	for name, response := range endless.Responses() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for op, call := range map[string]func(s *platform.HTTPStore) error{
				"get": func(s *platform.HTTPStore) error {
					_, err := s.Get(t.Context(), "k")
					return err
				},
				"list": func(s *platform.HTTPStore) error {
					_, err := s.List(t.Context(), "k")
					return err
				},
				"put": func(s *platform.HTTPStore) error {
					_, err := s.Put(t.Context(), "k", nil, platform.PutOptions{})
					return err
				},
			} {
				server := endless.Start(t, response)
				store := platform.NewHTTPStore("http://"+server.Address, platform.Options{ResponseTimeout: 500 * time.Millisecond})
				require.Error(t, call(store), op)
				server.RequireClosed(t, maxTaken)
				store.Close()
			}
		})
	}
}
