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

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/gateway"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/kv"
)

// bench is a store over loopback HTTP and operators' folders.
type bench struct {
	t     *testing.T
	store *httptest.Server
	// loseHeadWrites makes the store take the next writes of the head and
	// drop their answers; down makes it refuse everything.
	loseHeadWrites atomic.Int32
	down           atomic.Bool
	downAfterLoss  bool
	// newStore replaces the HTTP client when it is set.
	newStore func(baseURL string) platform.Store
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t}
	server := kv.New(kv.Limits{})
	handler := server.Handler()
	b.store = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b.down.Load() {
			panic(http.ErrAbortHandler)
		}
		head := r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, revision.HeadKey)
		if head && b.loseHeadWrites.Add(-1) >= 0 {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			b.down.Store(b.downAfterLoss)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(b.store.Close)
	return b
}

func (b *bench) folder(files map[string]string) string {
	dir := b.t.TempDir()
	for name, content := range files {
		b.write(dir, name, content)
	}
	return dir
}

func (b *bench) write(dir, name, content string) {
	require.NoError(b.t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
}

// run runs the command and returns its exit code and what it printed.
func (b *bench) run(args ...string) (int, string) {
	var out bytes.Buffer
	newStore := b.newStore
	if newStore == nil {
		newStore = func(u string) platform.Store { return platform.NewHTTPStore(u, platform.Options{}) }
	}
	code := Run(b.t.Context(), args, &Env{
		Stdout: &out,
		Stderr: &out,
		Lookup: func(name string) (string, bool) {
			return map[string]string{envStore: b.store.URL, envAuthor: "ann", envToken: "token"}[name], true
		},
		NewStore: newStore,
		Now:      time.Now,
	})
	return code, out.String()
}

// want runs the command and checks the exit code and parts of the output.
func (b *bench) want(code int, parts []string, args ...string) string {
	b.t.Helper()
	got, out := b.run(args...)
	require.Equal(b.t, code, got, out)
	for _, p := range parts {
		require.Contains(b.t, out, p)
	}
	return out
}

var files = map[string]string{
	"10-regions.yaml": "regions: {south: {data_centres: [s1]}}",
	"50-routing.yaml": "routing: {retry_ratio: 0.1}",
}

func TestCheck(t *testing.T) {
	b := newBench(t)
	b.want(ExitOK, []string{"valid: 2 files, 1 regions"}, "config", "check", b.folder(files))
	bad := b.folder(map[string]string{"a.yaml": "regoins: {}\nrouting: {retry_ratio: 3}\n"})
	b.want(ExitRejected, []string{`a.yaml:1:1: fault: regoins: unknown field; want "regions"`, "a.yaml:2:11", "invalid"}, "config", "check", bad)
	out := b.want(ExitRejected, nil, "config", "check", "--json", bad)
	var r checkReport
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Len(t, r.Diagnostics, 3)
	b.want(ExitUsage, []string{"no .yaml file"}, "config", "check", t.TempDir())
}

func TestWrongSettingsAreAllNamed(t *testing.T) {
	b := newBench(t)
	b.want(ExitUsage, []string{"--store: not a URL", "--admin: is missing", "--change-id: not an id", "--base and --replace"},
		"config", "apply", b.folder(files), "--store", "nowhere", "--wait", "1s", "--change-id", "x", "--base", "1", "--replace")
}

func TestOperatorsWorkSideBySide(t *testing.T) {
	b := newBench(t)
	ann := b.folder(files)
	b.want(ExitOK, []string{"+ 10-regions.yaml", `routing.retry_ratio: (none) -> 0.1`}, "config", "diff", ann)
	b.want(ExitOK, []string{"accepted: revision 1"}, "config", "apply", ann)
	b.want(ExitOK, []string{"nothing to change: revision 1"}, "config", "apply", ann)

	bob := t.TempDir()
	b.want(ExitOK, []string{"+ 50-routing.yaml", "at revision 1"}, "config", "pull", bob)
	b.write(bob, "50-routing.yaml", "routing: {retry_ratio: 0.2}")
	b.want(ExitOK, []string{"accepted: revision 2"}, "config", "apply", bob, "--author", "bob")

	b.write(ann, "10-regions.yaml", "regions: {south: {data_centres: [s1, s2]}}")
	b.want(ExitOK, []string{"accepted: revision 3", "50-routing.yaml was changed by others"}, "config", "apply", ann)
	b.want(ExitOK, []string{"nothing to change: revision 3"}, "config", "apply", ann)

	b.write(ann, "50-routing.yaml", "routing: {retry_ratio: 0.3}")
	b.want(ExitRejected, []string{"conflict: 50-routing.yaml was changed in revision 2 by bob"}, "config", "diff", ann)
	b.want(ExitRejected, []string{"conflict: 50-routing.yaml was changed in revision 2 by bob", "config pull"}, "config", "apply", ann)
	b.want(ExitOK, []string{"! 50-routing.yaml: changed here too"}, "config", "pull", ann)
	theirs, err := os.ReadFile(filepath.Join(ann, "50-routing.yaml"+theirsSuffix))
	require.NoError(t, err)
	require.Equal(t, "routing: {retry_ratio: 0.2}", string(theirs))
	b.want(ExitOK, []string{`routing.retry_ratio: 0.2 -> 0.3`}, "config", "diff", ann)
	b.want(ExitOK, []string{"accepted: revision 4"}, "config", "apply", ann)
	b.want(ExitOK, []string{"4 ", "~50-routing.yaml", "bob", "+10-regions.yaml"}, "config", "history")

	stranger := b.folder(files)
	b.want(ExitRejected, []string{"the folder has no base", "--replace"}, "config", "apply", stranger)
	b.want(ExitOK, []string{"accepted: revision 5"}, "config", "apply", stranger, "--replace")
	b.write(stranger, "50-routing.yaml", "routing: {retry_ratio: 9}")
	b.want(ExitRejected, []string{"50-routing.yaml:1:11: fault: routing.retry_ratio", "rejected: the merged configuration has 1 faults"}, "config", "apply", stranger)
}

func TestLostAnswerIsSettled(t *testing.T) {
	b := newBench(t)
	ann := b.folder(files)
	b.loseHeadWrites.Store(1)
	b.want(ExitOK, []string{"accepted: revision 1"}, "config", "apply", ann)

	b.loseHeadWrites.Store(1)
	b.downAfterLoss = true
	b.write(ann, "50-routing.yaml", "routing: {retry_ratio: 0.2}")
	out := b.want(ExitUnknownOutcome, []string{"unknown: the change may have been published", "settle it with"},
		"config", "apply", ann, "--timeout", "300ms")
	_, settle, _ := strings.Cut(out, "settle it with:\n  hickorystage ")
	b.want(ExitUnknownOutcome, nil, append(strings.Fields(settle), "--timeout", "300ms")...)
	b.down.Store(false)
	b.want(ExitOK, []string{"accepted: revision 2"}, strings.Fields(settle)...)
	b.want(ExitOK, []string{"nothing to change: revision 2"}, "config", "apply", ann)
}

func TestFolderEditedBeforeSettling(t *testing.T) {
	b := newBench(t)
	ann := b.folder(files)
	b.want(ExitOK, nil, "config", "apply", ann)
	b.loseHeadWrites.Store(1)
	b.downAfterLoss = true
	b.write(ann, "50-routing.yaml", "routing: {retry_ratio: 0.2}")
	b.want(ExitUnknownOutcome, nil, "config", "apply", ann, "--timeout", "300ms")
	b.down.Store(false)
	b.write(ann, "50-routing.yaml", "routing: {retry_ratio: 0.3}")
	b.want(ExitOK, []string{"begun before the folder was edited, is revision 2", "accepted: revision 3"}, "config", "apply", ann)
}

// killed is what a store panics with to end an apply as a kill does.
type killed struct{}

// killingStore ends the command at its last call, before or after the effect.
type killingStore struct {
	platform.Store
	callsLeft int
	after     bool
}

func (s *killingStore) step(effect func()) {
	s.callsLeft--
	if s.callsLeft > 0 {
		return
	}
	if s.after {
		effect()
	}
	panic(killed{})
}

func (s *killingStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	s.step(func() {})
	return s.Store.Get(ctx, key)
}

func (s *killingStore) Put(ctx context.Context, key string, v []byte, o platform.PutOptions) (platform.Entry, error) {
	s.step(func() { _, _ = s.Store.Put(ctx, key, v, o) })
	return s.Store.Put(ctx, key, v, o)
}

// TestKilledApplyIsResumed kills apply at each call on the store, runs it
// again, and wants the change exactly once.
func TestKilledApplyIsResumed(t *testing.T) {
	const calls = 6
	for n := 1; n <= calls; n++ {
		for _, after := range []bool{false, true} {
			b := newBench(t)
			ann := b.folder(files)
			b.want(ExitOK, nil, "config", "apply", ann)
			b.write(ann, "50-routing.yaml", "routing: {retry_ratio: 0.2}")
			b.newStore = func(u string) platform.Store {
				return &killingStore{Store: platform.NewHTTPStore(u, platform.Options{}), callsLeft: n, after: after}
			}
			wasKilled := b.runKilled("config", "apply", ann)
			b.newStore = nil
			require.Equal(t, n < calls, wasKilled, "call %d of an apply", n)
			if wasKilled {
				b.want(ExitOK, []string{"resuming change", "accepted: revision 2"}, "config", "apply", ann)
			}
			b.want(ExitOK, []string{"nothing to change: revision 2"}, "config", "apply", ann)
		}
	}
}

func (b *bench) runKilled(args ...string) (wasKilled bool) {
	defer func() {
		if p := recover(); p != nil {
			_, wasKilled = p.(killed)
			require.True(b.t, wasKilled, p)
		}
	}()
	b.run(args...)
	return false
}

func TestFollowUntilInForce(t *testing.T) {
	b := newBench(t)
	holding := []map[uint64]int{{1: 2}, {1: 1, 2: 1}, {2: 2}}
	var asked atomic.Int32
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer token" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		i := min(int(asked.Add(1)), len(holding)) - 1
		_ = json.NewEncoder(w).Encode(gateway.ConfigStatus{
			Revision: 2,
			Regions:  []gateway.RegionStatus{{Region: "south", GatewaysByRevision: holding[i]}},
		})
	}))
	t.Cleanup(admin.Close)
	ann := b.folder(files)
	b.want(ExitOK, nil, "config", "apply", ann)
	b.write(ann, "50-routing.yaml", "routing: {retry_ratio: 0.2}")
	b.want(ExitOK, []string{"accepted: revision 2", "in force in south after"}, "config", "apply", ann, "--wait", "9s", "--admin", admin.URL)
	require.EqualValues(t, 3, asked.Load())
	b.want(ExitOK, []string{"south   2         2 hold 2"}, "config", "status", "--admin", admin.URL)
	b.want(ExitRejected, []string{"answered status 401"}, "config", "status", "--admin", admin.URL, "--token", "wrong")

	b.write(ann, "10-regions.yaml", "regions: {south: {data_centres: [s1]}, north: {data_centres: [n1]}}\nlinks: {'*': {}}")
	b.want(ExitNotInForce, []string{"accepted: revision 3", "not seen in force in: north, south"},
		"config", "apply", ann, "--wait", "300ms", "--admin", admin.URL)
}
