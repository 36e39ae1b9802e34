package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/gateway"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/kv"
)

// fixture runs the command against a store on loopback HTTP, with folders in
// temporary directories.
type fixture struct {
	t     *testing.T
	store *httptest.Server
	// loseHeadWrites is the number of writes of the head that the store applies
	// without sending a response. storeDown makes it abort every request.
	// storeDownAfterLoss sets storeDown after such a write.
	loseHeadWrites     atomic.Int32
	storeDown          atomic.Bool
	storeDownAfterLoss bool
	// newStore replaces the HTTP client if it is set.
	newStore func(baseURL string) platform.Store
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t}
	server := kv.New(kv.Limits{})
	handler := server.Handler()
	f.store = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.storeDown.Load() {
			panic(http.ErrAbortHandler)
		}
		isHeadWrite := r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, revision.HeadKey)
		if isHeadWrite && f.loseHeadWrites.Add(-1) >= 0 {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			f.storeDown.Store(f.storeDownAfterLoss)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(f.store.Close)
	return f
}

func (f *fixture) newFolder(files map[string]string) string {
	dir := f.t.TempDir()
	for name, content := range files {
		f.writeFile(dir, name, content)
	}
	return dir
}

func (f *fixture) writeFile(dir, name, content string) {
	require.NoError(f.t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
}

// run runs the command and returns its exit code and its output.
func (f *fixture) run(args ...string) (int, string) {
	var out bytes.Buffer
	newStore := f.newStore
	if newStore == nil {
		newStore = func(u string) platform.Store { return platform.NewHTTPStore(u, platform.Options{}) }
	}
	code := Run(f.t.Context(), args, &Env{
		Stdout: &out,
		Stderr: &out,
		Lookup: func(name string) (string, bool) {
			return map[string]string{envStoreURL: f.store.URL, envAuthor: "ann", envAdminToken: "token"}[name], true
		},
		NewStore: newStore,
		Now:      time.Now,
	})
	return code, out.String()
}

// requireRun runs the command, checks the exit code and that the output contains
// parts, and returns the output.
func (f *fixture) requireRun(code int, parts []string, args ...string) string {
	f.t.Helper()
	got, out := f.run(args...)
	require.Equal(f.t, code, got, out)
	for _, p := range parts {
		require.Contains(f.t, out, p)
	}
	return out
}

var files = map[string]string{
	"10-regions.yaml": "regions: {south: {data_centres: [s1]}}",
	"50-routing.yaml": "routing: {retry_ratio: 0.1}",
}

func TestCheckReportsAllDiagnostics(t *testing.T) {
	f := newFixture(t)
	f.requireRun(ExitOK, []string{"valid: 2 files, 1 regions"}, "config", "check", f.newFolder(files))
	bad := f.newFolder(map[string]string{"a.yaml": "regoins: {}\nrouting: {retry_ratio: 3}\n"})
	f.requireRun(ExitRejected, []string{`a.yaml:1:1: fault: regoins: unknown field; want "regions"`, "a.yaml:2:11", "invalid"}, "config", "check", bad)
	out := f.requireRun(ExitRejected, nil, "config", "check", "--json", bad)
	var r checkReport
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Len(t, r.Diagnostics, 3)
	f.requireRun(ExitUsage, []string{"no .yaml file"}, "config", "check", t.TempDir())
}

func TestAllInvalidFlagsAreReported(t *testing.T) {
	f := newFixture(t)
	f.requireRun(ExitUsage, []string{"--store: not a URL", "--admin: is missing", "--change-id: not an id", "--base and --replace"},
		"config", "apply", f.newFolder(files), "--store", "nowhere", "--wait", "1s", "--change-id", "x", "--base", "1", "--replace")
}

func TestConcurrentChangesMergeOrConflict(t *testing.T) {
	f := newFixture(t)
	ann := f.newFolder(files)
	f.requireRun(ExitOK, []string{"+ 10-regions.yaml", `routing.retry_ratio: (none) -> 0.1`}, "config", "diff", ann)
	f.requireRun(ExitOK, []string{"accepted: revision 1"}, "config", "apply", ann)
	f.requireRun(ExitOK, []string{"nothing to change: revision 1"}, "config", "apply", ann)

	bob := t.TempDir()
	f.requireRun(ExitOK, []string{"+ 50-routing.yaml", "at revision 1"}, "config", "pull", bob)
	f.writeFile(bob, "50-routing.yaml", "routing: {retry_ratio: 0.2}")
	f.requireRun(ExitOK, []string{"accepted: revision 2"}, "config", "apply", bob, "--author", "bob")

	f.writeFile(ann, "10-regions.yaml", "regions: {south: {data_centres: [s1, s2]}}")
	f.requireRun(ExitOK, []string{"accepted: revision 3", "50-routing.yaml was changed by others"}, "config", "apply", ann)
	f.requireRun(ExitOK, []string{"nothing to change: revision 3"}, "config", "apply", ann)

	f.writeFile(ann, "50-routing.yaml", "routing: {retry_ratio: 0.3}")
	f.requireRun(ExitRejected, []string{"conflict: 50-routing.yaml was changed in revision 2 by bob"}, "config", "diff", ann)
	f.requireRun(ExitRejected, []string{"conflict: 50-routing.yaml was changed in revision 2 by bob", "config pull"}, "config", "apply", ann)
	f.requireRun(ExitOK, []string{"! 50-routing.yaml: changed here too"}, "config", "pull", ann)
	publishedContent, err := os.ReadFile(filepath.Join(ann, "50-routing.yaml"+publishedSuffix))
	require.NoError(t, err)
	require.Equal(t, "routing: {retry_ratio: 0.2}", string(publishedContent))
	f.requireRun(ExitOK, []string{`routing.retry_ratio: 0.2 -> 0.3`}, "config", "diff", ann)
	f.requireRun(ExitOK, []string{"accepted: revision 4"}, "config", "apply", ann)
	f.requireRun(ExitOK, []string{"4 ", "~50-routing.yaml", "bob", "+10-regions.yaml"}, "config", "history")

	stranger := f.newFolder(files)
	f.requireRun(ExitRejected, []string{"the folder has no base", "--replace"}, "config", "apply", stranger)
	f.requireRun(ExitOK, []string{"accepted: revision 5"}, "config", "apply", stranger, "--replace")
	f.writeFile(stranger, "50-routing.yaml", "routing: {retry_ratio: 9}")
	f.requireRun(ExitRejected, []string{"50-routing.yaml:1:11: fault: routing.retry_ratio", "rejected: the merged configuration has 1 faults"}, "config", "apply", stranger)
}

func TestApplySettlesUnknownOutcomeAfterLostResponse(t *testing.T) {
	f := newFixture(t)
	ann := f.newFolder(files)
	f.loseHeadWrites.Store(1)
	f.requireRun(ExitOK, []string{"accepted: revision 1"}, "config", "apply", ann)

	f.loseHeadWrites.Store(1)
	f.storeDownAfterLoss = true
	f.writeFile(ann, "50-routing.yaml", "routing: {retry_ratio: 0.2}")
	out := f.requireRun(ExitUnknownOutcome, []string{"unknown: the change may have been published", "settle it with"},
		"config", "apply", ann, "--timeout", "300ms")
	_, settle, _ := strings.Cut(out, "settle it with:\n  hickorystage ")
	f.requireRun(ExitUnknownOutcome, nil, append(strings.Fields(settle), "--timeout", "300ms")...)
	f.storeDown.Store(false)
	f.requireRun(ExitOK, []string{"accepted: revision 2"}, strings.Fields(settle)...)
	f.requireRun(ExitOK, []string{"nothing to change: revision 2"}, "config", "apply", ann)
}

func TestApplySettlesPendingChangeOfEditedFolder(t *testing.T) {
	f := newFixture(t)
	ann := f.newFolder(files)
	f.requireRun(ExitOK, nil, "config", "apply", ann)
	f.loseHeadWrites.Store(1)
	f.storeDownAfterLoss = true
	f.writeFile(ann, "50-routing.yaml", "routing: {retry_ratio: 0.2}")
	f.requireRun(ExitUnknownOutcome, nil, "config", "apply", ann, "--timeout", "300ms")
	f.storeDown.Store(false)
	f.writeFile(ann, "50-routing.yaml", "routing: {retry_ratio: 0.3}")
	f.requireRun(ExitOK, []string{"begun before the folder was edited, is revision 2", "accepted: revision 3"}, "config", "apply", ann)
}

// killSignal is the value that killingStore panics with, to end an apply as
// abruptly as a kill of the process.
type killSignal struct{}

// killingStore panics in the call that uses up callsLeft: after the effect of
// that call if killAfterEffect is set, before it otherwise.
type killingStore struct {
	platform.Store
	callsLeft       int
	killAfterEffect bool
}

func (s *killingStore) killAtLastCall(effect func()) {
	s.callsLeft--
	if s.callsLeft > 0 {
		return
	}
	if s.killAfterEffect {
		effect()
	}
	panic(killSignal{})
}

func (s *killingStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	s.killAtLastCall(func() {})
	return s.Store.Get(ctx, key)
}

func (s *killingStore) Put(ctx context.Context, key string, v []byte, o platform.PutOptions) (platform.Entry, error) {
	s.killAtLastCall(func() { _, _ = s.Store.Put(ctx, key, v, o) })
	return s.Store.Put(ctx, key, v, o)
}

// TestKilledApplyIsResumed kills apply at each of its calls to the store, runs it
// again, and checks that the change is published exactly once.
func TestKilledApplyIsResumed(t *testing.T) {
	const calls = 6
	for n := 1; n <= calls; n++ {
		for _, after := range []bool{false, true} {
			f := newFixture(t)
			ann := f.newFolder(files)
			f.requireRun(ExitOK, nil, "config", "apply", ann)
			f.writeFile(ann, "50-routing.yaml", "routing: {retry_ratio: 0.2}")
			f.newStore = func(u string) platform.Store {
				return &killingStore{Store: platform.NewHTTPStore(u, platform.Options{}), callsLeft: n, killAfterEffect: after}
			}
			wasKilled := f.runUntilKilled("config", "apply", ann)
			f.newStore = nil
			require.Equal(t, n < calls, wasKilled, "call %d of an apply", n)
			if wasKilled {
				f.requireRun(ExitOK, []string{"resuming change", "accepted: revision 2"}, "config", "apply", ann)
			}
			f.requireRun(ExitOK, []string{"nothing to change: revision 2"}, "config", "apply", ann)
		}
	}
}

// runUntilKilled runs the command and reports whether killingStore ended it.
func (f *fixture) runUntilKilled(args ...string) (wasKilled bool) {
	defer func() {
		if p := recover(); p != nil {
			_, wasKilled = p.(killSignal)
			require.True(f.t, wasKilled, p)
		}
	}()
	f.run(args...)
	return false
}

func TestApplyWaitsUntilRevisionIsInForce(t *testing.T) {
	f := newFixture(t)
	gatewaysByRevision := []map[uint64]int{{1: 2}, {1: 1, 2: 1}, {2: 2}}
	var pollCount atomic.Int32
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer token" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		i := min(int(pollCount.Add(1)), len(gatewaysByRevision)) - 1
		_ = json.NewEncoder(w).Encode(gateway.ConfigStatus{
			Revision: 2,
			Regions:  []gateway.RegionStatus{{Region: "south", GatewaysByRevision: gatewaysByRevision[i]}},
		})
	}))
	t.Cleanup(admin.Close)
	ann := f.newFolder(files)
	f.requireRun(ExitOK, nil, "config", "apply", ann)
	f.writeFile(ann, "50-routing.yaml", "routing: {retry_ratio: 0.2}")
	f.requireRun(ExitOK, []string{"accepted: revision 2", "in force in south after"}, "config", "apply", ann, "--wait", "9s", "--admin", admin.URL)
	require.EqualValues(t, 3, pollCount.Load())
	f.requireRun(ExitOK, []string{"south   2         2 hold 2"}, "config", "status", "--admin", admin.URL)
	f.requireRun(ExitRejected, []string{"returned status 401"}, "config", "status", "--admin", admin.URL, "--token", "wrong")

	f.writeFile(ann, "10-regions.yaml", "regions: {south: {data_centres: [s1]}, north: {data_centres: [n1]}}\nlinks: {'*': {}}")
	f.requireRun(ExitNotInForce, []string{"accepted: revision 3", "not seen in force in: north, south"},
		"config", "apply", ann, "--wait", "300ms", "--admin", admin.URL)
}

// TestFailureAfterAcceptanceIsNotARejection lets the store fail right after it has
// accepted a change that apply waits for.
func TestFailureAfterAcceptanceIsNotARejection(t *testing.T) {
	f := newFixture(t)
	ann := f.newFolder(files)
	f.requireRun(ExitOK, nil, "config", "apply", ann)
	f.writeFile(ann, "50-routing.yaml", "routing: {retry_ratio: 0.2}")
	f.newStore = func(u string) platform.Store {
		return &failingStore{Store: platform.NewHTTPStore(u, platform.Options{})}
	}
	f.requireRun(ExitNotInForce, []string{"accepted: revision 2", "can't read the regions of revision 2"},
		"config", "apply", ann, "--wait", "9s", "--admin", "http://127.0.0.1:1")
}

// failingStore refuses reads once the head has been written.
type failingStore struct {
	platform.Store
	headWritten bool
}

// Get implements platform.Store.
func (s *failingStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	if s.headWritten {
		return platform.Entry{}, errors.New("the store is down")
	}
	return s.Store.Get(ctx, key)
}

// Put implements platform.Store.
func (s *failingStore) Put(ctx context.Context, key string, v []byte, o platform.PutOptions) (platform.Entry, error) {
	entry, err := s.Store.Put(ctx, key, v, o)
	s.headWritten = s.headWritten || key == revision.HeadKey
	return entry, err
}
