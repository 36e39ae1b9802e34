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

// maxTokens bounds the answers of the property test.
const maxTokens = 12

// plan is one random history: engines with faults, and callers.
type plan struct {
	engines int
	chunks  []plannedChunkFault
	faults  []plannedFault
	callers []plannedCaller
}

type plannedChunkFault struct {
	engine int
	fault  engine.ChunkFault
}

type plannedFault struct {
	engine  int
	at      time.Duration
	setting fault.Setting
	clear   time.Duration
}

type plannedCaller struct {
	prompt string
	tokens int
	stream bool
	at     time.Duration
	leaves time.Duration
}

func millis(low, high int) *rapid.Generator[time.Duration] {
	return rapid.Map(rapid.IntRange(low, high), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
}

func drawPlan(t *rapid.T) plan {
	p := plan{engines: rapid.IntRange(1, 3).Draw(t, "engines")}
	one := rapid.IntRange(0, p.engines-1)
	kinds := rapid.SampledFrom([]engine.ChunkFaultKind{
		engine.ChunkOtherAttempt, engine.ChunkDuplicate, engine.ChunkDrop, engine.ChunkStale, engine.ChunkTruncate,
		engine.ChunkEarlyEOF, engine.ChunkEarlyDone, engine.ChunkStall, engine.ChunkMalformed,
	})
	for range rapid.IntRange(0, 6).Draw(t, "chunk faults") {
		p.chunks = append(p.chunks, plannedChunkFault{engine: one.Draw(t, "engine"), fault: engine.ChunkFault{
			Kind: kinds.Draw(t, "kind"), Seq: rapid.IntRange(0, maxTokens).Draw(t, "seq"), Count: rapid.IntRange(1, 3).Draw(t, "count"),
		}})
	}
	switches := rapid.SampledFrom([]fault.Kind{fault.Silent, fault.Stop, fault.Freeze, fault.DropRequest, fault.DropResponse, fault.SwapResponses, fault.Truncate})
	for range rapid.IntRange(0, 3).Draw(t, "faults") {
		p.faults = append(p.faults, plannedFault{
			engine: one.Draw(t, "engine"), at: millis(0, 300).Draw(t, "at"), clear: millis(1, 4000).Draw(t, "clear"),
			setting: fault.Setting{Kind: switches.Draw(t, "switch"), Path: relay.ChatPath, Count: rapid.IntRange(1, 3).Draw(t, "count"), Chunks: 4},
		})
	}
	for range rapid.IntRange(1, 6).Draw(t, "callers") {
		p.callers = append(p.callers, plannedCaller{
			prompt: rapid.SampledFrom([]string{"wool", "sand", "stain"}).Draw(t, "prompt"),
			tokens: rapid.IntRange(1, maxTokens).Draw(t, "tokens"),
			stream: rapid.Bool().Draw(t, "stream"),
			at:     millis(0, 300).Draw(t, "at"),
			leaves: rapid.OneOf(rapid.Just(time.Duration(0)), millis(1, 300)).Draw(t, "leaves"),
		})
	}
	return p
}

// rig runs a plan.
type rig struct {
	relay     *relay.Relay
	engines   []*engine.Server
	listeners map[string]*memnet.Listener
	servers   []*http.Server
}

func newRig(engines int) *rig {
	g := &rig{listeners: make(map[string]*memnet.Listener)}
	for i := range engines {
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

func (g *rig) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return g.listeners[address].Dial(ctx, network, address)
}

func (g *rig) pick(_ context.Context, tried map[string]bool) (relay.Target, error) {
	for i := range g.engines {
		if id := address(i); !tried[id] {
			return relay.Target{ID: id, Address: id}, nil
		}
	}
	return relay.Target{}, failure.Refuse(failure.CodeNoEndpoint, "no endpoint is left")
}

func (g *rig) close() {
	_ = g.relay.Close()
	for _, s := range g.servers {
		s.Close()
	}
}

// inject throws the plan's switches at their times.
func (g *rig) inject(p plan) {
	for _, c := range p.chunks {
		_ = g.engines[c.engine].ChunkFaults.Add(c.fault)
	}
	for _, f := range p.faults {
		switches := g.engines[f.engine].Faults
		time.AfterFunc(f.at, func() { _ = switches.Set(f.setting) })
		time.AfterFunc(f.at+f.clear, func() { switches.Clear(f.setting.Kind) })
	}
}

// outcome is what one caller got.
type outcome struct {
	caller plannedCaller
	body   string
	sum    relay.Summary
	err    error
}

func (g *rig) call(c plannedCaller) outcome {
	time.Sleep(c.at)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if c.leaves > 0 {
		time.AfterFunc(c.leaves, cancel)
	}
	body := fmt.Appendf(nil, `{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, c.stream, c.tokens, c.prompt)
	rec := httptest.NewRecorder()
	var sink relay.Sink = relay.NewJSONSink(rec, "req", "m", time.Now())
	if c.stream {
		sink = relay.NewSSESink(rec, relay.SSEOptions{ChunkID: "req"})
	}
	sum, err := g.relay.Chat(ctx, relay.ChatRequest{RequestID: "req", Body: body}, g.pick, sink)
	return outcome{caller: c, body: rec.Body.String(), sum: sum, err: err}
}

// want is the whole answer, straight from the definition of the stand-in.
func (c plannedCaller) want() string {
	return engine.NewCompletion([]byte("user\n"+c.prompt+"\n"), c.tokens).Text(c.tokens)
}

// check returns whether the caller got its whole answer, and fails if it got
// anything else than that, or the beginning of it and an explicit end.
func (o outcome) check(t require.TestingT) bool {
	if !o.caller.stream {
		return o.checkPlain(t)
	}
	text, done, failed := readStream(t, o.body)
	want := o.caller.want()
	require.True(t, strings.HasPrefix(want, text), "%q isn't a beginning of %q", text, want)
	require.Equal(t, o.err == nil, done)
	if done {
		require.Equal(t, want, text)
		require.False(t, failed)
		return true
	}
	var gone *relay.CallerGoneError
	if text != "" && !failed {
		require.ErrorAs(t, o.err, &gone, "a partial answer ended without a word")
	}
	return false
}

func (o outcome) checkPlain(t require.TestingT) bool {
	if o.err != nil {
		require.Empty(t, o.body)
		return false
	}
	var doc struct {
		Choices []struct{ Message struct{ Content string } }
	}
	require.NoError(t, json.Unmarshal([]byte(o.body), &doc))
	require.Equal(t, o.caller.want(), doc.Choices[0].Message.Content)
	return true
}

// readStream reads a caller's stream and checks the numbers of its chunks.
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

// tally counts what the histories of the property test were like.
type tally struct{ whole, resumed, refused int }

// TestCallersGetTheirOwnWholeAnswer drives random callers, chunk faults and
// connection faults. By hand: -rapid.checks=100000 -rapid.seed=N.
func TestCallersGetTheirOwnWholeAnswer(t *testing.T) {
	var sum tally
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		v := &verdict{}
		synctest.Test(t, func(*testing.T) { v.collect(func() { runPlan(v, p, &sum) }) })
		require.Empty(rt, v.message)
	})
	t.Logf("answers whole %d, of them resumed %d; refused %d", sum.whole, sum.resumed, sum.refused)
	require.NotZero(t, sum.whole)
	require.NotZero(t, sum.resumed)
	require.NotZero(t, sum.refused)
}

// verdict carries the first failure out of the bubble of virtual time, so that
// rapid can shrink the history that led to it.
type verdict struct{ message string }

// Errorf implements require.TestingT.
func (v *verdict) Errorf(format string, args ...any) { v.message += fmt.Sprintf(format, args...) }

// FailNow implements require.TestingT.
func (v *verdict) FailNow() { panic(v) }

func (v *verdict) collect(fn func()) {
	defer func() {
		if e := recover(); e != nil && e != any(v) {
			panic(e)
		}
	}()
	fn()
}

func runPlan(t require.TestingT, p plan, sum *tally) {
	g := newRig(p.engines)
	defer g.close()
	g.inject(p)
	outcomes := make([]outcome, len(p.callers))
	var wg sync.WaitGroup
	for i, c := range p.callers {
		wg.Go(func() { outcomes[i] = g.call(c) })
	}
	wg.Wait()
	for _, o := range outcomes {
		switch whole := o.check(t); {
		case whole && o.sum.ResumedAttempts > 0:
			sum.resumed++
			fallthrough
		case whole:
			sum.whole++
		default:
			sum.refused++
		}
	}
	g.checkEngines(t)
}

// checkEngines checks that no work is left behind a second after the last
// caller was answered, faults cleared.
func (g *rig) checkEngines(t require.TestingT) {
	time.Sleep(5 * time.Second)
	for _, e := range g.engines {
		work := e.Stats()
		require.Zero(t, work.InFlight, "%+v", work)
		require.Zero(t, work.TokensAfterCancel)
	}
}
