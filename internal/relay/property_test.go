package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/relay"
	"github.com/hickorystage/hickorystage/internal/standin/engine"
	"github.com/hickorystage/hickorystage/internal/standin/fault"
	"github.com/hickorystage/hickorystage/internal/standin/memnet"
)

// maxTokens is the longest response of the property test.
const maxTokens = 12

// faultPlan is one random test case: engines with faults, and callers.
type faultPlan struct {
	engines     int
	chunkFaults []plannedChunkFault
	faults      []plannedFault
	callers     []plannedCaller
}

type plannedChunkFault struct {
	engine int
	fault  engine.ChunkFault
}

type plannedFault struct {
	engine     int
	at         time.Duration
	setting    fault.Setting
	clearAfter time.Duration
}

type plannedCaller struct {
	prompt      string
	tokens      int
	stream      bool
	at          time.Duration
	leavesAfter time.Duration
}

func milliseconds(low, high int) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.IntRange(low, high), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
}

func drawPlan(t *rapid.T) faultPlan {
	p := faultPlan{engines: rapid.IntRange(1, 3).Draw(t, "engines")}
	engineIndex := rapid.IntRange(0, p.engines-1)
	kinds := rapid.SampledFrom([]engine.ChunkFaultKind{
		engine.ChunkOtherAttempt, engine.ChunkDuplicate, engine.ChunkDrop, engine.ChunkStale, engine.ChunkTruncate,
		engine.ChunkEarlyEOF, engine.ChunkEarlyDone, engine.ChunkStall, engine.ChunkMalformed,
	})
	for range rapid.IntRange(0, 6).Draw(t, "chunk faults") {
		p.chunkFaults = append(p.chunkFaults, plannedChunkFault{engine: engineIndex.Draw(t, "engine"), fault: engine.ChunkFault{
			Kind: kinds.Draw(t, "kind"), Seq: rapid.IntRange(0, maxTokens).Draw(t, "seq"), Count: rapid.IntRange(1, 3).Draw(t, "count"),
		}})
	}
	switches := rapid.SampledFrom([]fault.Kind{fault.Silent, fault.Stop, fault.Freeze, fault.DropRequest, fault.DropResponse, fault.SwapResponses, fault.Truncate})
	for range rapid.IntRange(0, 3).Draw(t, "faults") {
		p.faults = append(p.faults, plannedFault{
			engine: engineIndex.Draw(t, "engine"), at: milliseconds(0, 300).Draw(t, "at"), clearAfter: milliseconds(1, 4000).Draw(t, "clear"),
			setting: fault.Setting{Kind: switches.Draw(t, "switch"), Path: relay.ChatPath, Count: rapid.IntRange(1, 3).Draw(t, "count"), Chunks: 4},
		})
	}
	for range rapid.IntRange(1, 6).Draw(t, "callers") {
		p.callers = append(p.callers, plannedCaller{
			prompt:      rapid.SampledFrom([]string{"wool", "sand", "stain"}).Draw(t, "prompt"),
			tokens:      rapid.IntRange(1, maxTokens).Draw(t, "tokens"),
			stream:      rapid.Bool().Draw(t, "stream"),
			at:          milliseconds(0, 300).Draw(t, "at"),
			leavesAfter: rapid.OneOf(rapid.Just(time.Duration(0)), milliseconds(1, 300)).Draw(t, "leaves"),
		})
	}
	return p
}

// testbed is a relay and its stand-in engines on an in-memory network.
type testbed struct {
	relay     *relay.Relay
	engines   []*engine.Server
	listeners map[string]*memnet.Listener
	servers   []*http.Server
}

func newTestbed(engineCount int) *testbed {
	g := &testbed{listeners: make(map[string]*memnet.Listener)}
	for i := range engineCount {
		e := engine.New(engine.Config{TokenInterval: 10 * time.Millisecond})
		l := memnet.Listen(address(i))
		srv := &http.Server{Handler: e.Handler()}
		go srv.Serve(e.Faults.Listener(l))
		g.engines = append(g.engines, e)
		g.listeners[address(i)] = l
		g.servers = append(g.servers, srv)
	}
	g.relay = relay.New(relay.Settings{Dial: g.dial})
	return g
}

func address(i int) string { return fmt.Sprintf("engine-%d:80", i) }

func (g *testbed) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return g.listeners[address].Dial(ctx, network, address)
}

func (g *testbed) pick(_ context.Context, tried map[string]bool) (relay.Target, error) {
	for i := range g.engines {
		if id := address(i); !tried[id] {
			return relay.Target{ID: id, Address: id}, nil
		}
	}
	return relay.Target{}, failure.Refuse(failure.CodeNoEndpoint, "no endpoint is left")
}

func (g *testbed) close() {
	_ = g.relay.Close()
	for _, s := range g.servers {
		s.Close()
	}
}

// scheduleFaults sets the plan's chunk faults at once, and sets and clears its
// connection faults at their times.
func (g *testbed) scheduleFaults(p faultPlan) {
	for _, c := range p.chunkFaults {
		_ = g.engines[c.engine].ChunkFaults.Add(c.fault)
	}
	for _, f := range p.faults {
		switches := g.engines[f.engine].Faults
		time.AfterFunc(f.at, func() { _ = switches.Set(f.setting) })
		time.AfterFunc(f.at+f.clearAfter, func() { switches.Clear(f.setting.Kind) })
	}
}

// callerResult is what one caller received.
type callerResult struct {
	caller  plannedCaller
	body    string
	summary relay.Summary
	err     error
}

func (g *testbed) call(c plannedCaller) callerResult {
	time.Sleep(c.at)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if c.leavesAfter > 0 {
		time.AfterFunc(c.leavesAfter, cancel)
	}
	body := fmt.Appendf(nil, `{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, c.stream, c.tokens, c.prompt)
	rec := httptest.NewRecorder()
	var sink relay.Sink = relay.NewJSONSink(rec, "req", "m", time.Now())
	if c.stream {
		sink = relay.NewSSESink(rec, relay.SSEOptions{ChunkID: "req"})
	}
	summary, err := g.relay.Chat(ctx, relay.ChatRequest{RequestID: "req", Body: body}, g.pick, sink)
	return callerResult{caller: c, body: rec.Body.String(), summary: summary, err: err}
}

// wantContent returns the complete response as the stand-in engine defines it.
func (c plannedCaller) wantContent() string {
	return engine.NewCompletion([]byte("user\n"+c.prompt+"\n"), c.tokens).Text(c.tokens)
}

// isComplete returns whether the caller received its complete response. It fails
// if the caller received anything but that or the beginning of it with an
// explicit error.
func (o callerResult) isComplete(t require.TestingT) bool {
	if !o.caller.stream {
		return o.isCompleteJSON(t)
	}
	text, done, failed := readStream(t, o.body)
	want := o.caller.wantContent()
	require.True(t, strings.HasPrefix(want, text), "%q is not a prefix of %q", text, want)
	require.Equal(t, o.err == nil, done)
	if done {
		require.Equal(t, want, text)
		require.False(t, failed)
		return true
	}
	var gone *relay.CallerGoneError
	if text != "" && !failed {
		require.ErrorAs(t, o.err, &gone, "a partial response ended without an error event")
	}
	return false
}

func (o callerResult) isCompleteJSON(t require.TestingT) bool {
	if o.err != nil {
		require.Empty(t, o.body)
		return false
	}
	var doc struct {
		Choices []struct{ Message struct{ Content string } }
	}
	require.NoError(t, json.Unmarshal([]byte(o.body), &doc))
	require.Equal(t, o.caller.wantContent(), doc.Choices[0].Message.Content)
	return true
}

// readStream reads a caller's stream and checks the order of its chunks.
func readStream(t require.TestingT, body string) (text string, done, failed bool) {
	next := 0
	for event := range strings.SplitSeq(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		data, ok := strings.CutPrefix(event, "data: ")
		switch {
		case event == "":
		case strings.HasPrefix(event, "event: error\n"):
			failed = true
		case data == "[DONE]":
			done = true
		default:
			require.True(t, ok && !done && !failed, event)
			var c struct {
				ID      string
				Seq     int
				Choices []struct{ Delta struct{ Content string } }
			}
			require.NoError(t, json.Unmarshal([]byte(data), &c))
			require.Equal(t, "req", c.ID)
			require.Equal(t, next, c.Seq)
			next++
			text += c.Choices[0].Delta.Content
		}
	}
	return text, done, failed
}

// resultCounts counts the responses of the property test by their result.
type resultCounts struct{ complete, resumed, failed int }

// TestCallersGetTheirOwnWholeAnswer checks, for random callers, chunk faults and
// connection faults, that each caller receives its own complete response or an
// explicit error. A longer run: -rapid.checks=100000 -rapid.seed=N.
func TestCallersGetTheirOwnWholeAnswer(t *testing.T) {
	var counts resultCounts
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		v := &failureCollector{}
		synctest.Test(t, func(*testing.T) { v.collect(func() { runPlan(v, p, &counts) }) })
		require.Empty(rt, v.message)
	})
	t.Logf("responses: %d complete, of these %d resumed; %d failed", counts.complete, counts.resumed, counts.failed)
	require.NotZero(t, counts.complete)
	require.NotZero(t, counts.resumed)
	require.NotZero(t, counts.failed)
}

// failureCollector passes the first failure out of the synctest bubble, so that
// rapid can shrink the plan that led to it.
type failureCollector struct{ message string }

// Errorf implements require.TestingT.
func (v *failureCollector) Errorf(format string, args ...any) {
	v.message += fmt.Sprintf(format, args...)
}

// FailNow implements require.TestingT.
func (v *failureCollector) FailNow() { panic(v) }

func (v *failureCollector) collect(fn func()) {
	defer func() {
		if e := recover(); e != nil && e != any(v) {
			panic(e)
		}
	}()
	fn()
}

func runPlan(t require.TestingT, p faultPlan, counts *resultCounts) {
	g := newTestbed(p.engines)
	defer g.close()
	g.scheduleFaults(p)
	outcomes := make([]callerResult, len(p.callers))
	var wg sync.WaitGroup
	for i, c := range p.callers {
		wg.Go(func() { outcomes[i] = g.call(c) })
	}
	wg.Wait()
	for _, o := range outcomes {
		switch complete := o.isComplete(t); {
		case complete && o.summary.ResumedAttempts > 0:
			counts.resumed++
			fallthrough
		case complete:
			counts.complete++
		default:
			counts.failed++
		}
	}
	g.requireIdleEngines(t)
}

// requireIdleEngines checks that no engine is still working five seconds after
// the last caller's response. By then all timed faults are cleared.
func (g *testbed) requireIdleEngines(t require.TestingT) {
	time.Sleep(5 * time.Second)
	for _, e := range g.engines {
		work := e.Stats()
		require.Zero(t, work.InFlight, "%+v", work)
		require.Zero(t, work.TokensAfterCancel)
	}
}
