package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/standin/fault"
	"github.com/hickorystage/hickorystage/internal/standin/memnet"
)

// memNet is a network in memory that counts its dials.
type memNet struct {
	mu        sync.Mutex
	listeners map[string]*memnet.Listener
	dials     map[string]int
}

func newMemNet() *memNet {
	return &memNet{listeners: make(map[string]*memnet.Listener), dials: make(map[string]int)}
}

func (n *memNet) listen(name string) *memnet.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[name] = memnet.Listen(name)
	return n.listeners[name]
}

func (n *memNet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	name := strings.TrimSuffix(address, ":80")
	n.mu.Lock()
	n.dials[name]++
	l := n.listeners[name]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	return l.Dial(ctx, network, address)
}

func (n *memNet) dialed(name string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials[name]
}

// script is what a fake engine does with one attempt. It gets the attempt's
// id and the number of the first chunk asked for.
type script func(w *engineWriter)

// engineWriter is the answer of one attempt at a fake engine.
type engineWriter struct {
	http.ResponseWriter
	ctx  context.Context
	id   string
	from uint64
	text string
}

func (w *engineWriter) raw(format string, args ...any) {
	fmt.Fprintf(w, format, args...)
	http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *engineWriter) chunk(id string, seq uint64) {
	w.raw("data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"seq\":%d,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", id, seq, token(seq))
}

func (w *engineWriter) finish(seq uint64) {
	w.raw("data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"seq\":%d,\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":%d}}\n\n", w.id, seq, seq)
}

func (w *engineWriter) done() { w.raw("data: [DONE]\n\n") }

// chunks sends the chunks up to, but not including, end.
func (w *engineWriter) chunks(end uint64) {
	for seq := w.from; seq < end; seq++ {
		w.chunk(w.id, seq)
	}
}

// answerLength is the number of tokens in a whole answer of a fake engine.
const answerLength = 8

// whole sends the rest of the answer and its end.
func whole(w *engineWriter) {
	w.chunks(answerLength)
	w.finish(answerLength)
	w.done()
}

func token(seq uint64) string { return fmt.Sprintf("t%d ", seq) }

// text is the text of the first n tokens.
func text(n uint64) string {
	var b strings.Builder
	for seq := range n {
		b.WriteString(token(seq))
	}
	return b.String()
}

// fakeEngine runs one script for each attempt in turn, the last one for all
// further ones.
type fakeEngine struct {
	t       *testing.T
	running sync.WaitGroup
	faults  *fault.Switches
	mu      sync.Mutex
	scripts []script
	// got lists the attempts, cancelled the cancel orders.
	got       []*http.Request
	resumes   []*Resume
	cancelled []string
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.running.Add(1)
	defer e.running.Done()
	if id, ok := strings.CutPrefix(r.URL.Path, CancelPath); ok {
		e.mu.Lock()
		e.cancelled = append(e.cancelled, id)
		e.mu.Unlock()
		return
	}
	var body struct {
		Stream bool    `json:"stream"`
		Resume *Resume `json:"resume"`
	}
	if r.URL.Path != ChatPath {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(HeaderAttemptID, r.Header.Get(HeaderAttemptID))
		e.record(r, nil)(&engineWriter{ResponseWriter: w, ctx: r.Context(), id: r.Header.Get(HeaderAttemptID)})
		return
	}
	err := json.NewDecoder(r.Body).Decode(&body)
	run := e.record(r, body.Resume)
	ew := &engineWriter{ResponseWriter: w, ctx: r.Context(), id: r.Header.Get(HeaderAttemptID)}
	if err != nil || !body.Stream {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	if body.Resume != nil {
		ew.from, ew.text = body.Resume.NextSeq, body.Resume.Text
	}
	w.Header().Set(HeaderAttemptID, ew.id)
	run(ew)
}

func (e *fakeEngine) record(r *http.Request, resume *Resume) script {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := min(len(e.got), len(e.scripts)-1)
	e.got = append(e.got, r)
	e.resumes = append(e.resumes, resume)
	return e.scripts[n]
}

func (e *fakeEngine) attempts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.got)
}

func (e *fakeEngine) cancels() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.cancelled)
}

// world is a relay and its fake engines.
type world struct {
	t       *testing.T
	net     *memNet
	relay   *Relay
	seen    *recorder
	engines map[string]*fakeEngine
	order   []string
	route   *PeerRoute
	servers []*http.Server
}

func newWorld(t *testing.T, s Settings) *world {
	w := &world{t: t, net: newMemNet(), seen: &recorder{}, engines: make(map[string]*fakeEngine)}
	var n atomic.Int64
	s.Dial = w.net.dial
	s.Observer = w.seen
	s.NewID = func() string { return fmt.Sprintf("attempt-%d", n.Add(1)) }
	w.relay = New(s)
	return w
}

// engine adds an engine; the picker tries engines in the order of their adding.
func (w *world) engine(name string, scripts ...script) *fakeEngine {
	e := &fakeEngine{t: w.t, scripts: scripts, faults: fault.New()}
	w.engines[name] = e
	w.order = append(w.order, name)
	srv := &http.Server{Handler: e}
	w.servers = append(w.servers, srv)
	go srv.Serve(e.faults.Listener(w.net.listen(name)))
	return e
}

func (w *world) close() {
	require.NoError(w.t, w.relay.Close())
	for _, s := range w.servers {
		s.Close()
	}
	synctest.Wait()
	for _, e := range w.engines {
		e.running.Wait()
	}
}

func (w *world) pick(_ context.Context, tried map[string]bool) (Target, error) {
	for _, name := range w.order {
		if !tried[name] {
			return Target{ID: name, Address: name, Region: "r1", Peer: w.route}, nil
		}
	}
	return Target{}, failure.Refuse(failure.CodeNoEndpoint, "no endpoint is left")
}

var chatBody = []byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}`)

// chat asks for a streamed answer and returns what the caller got.
func (w *world) chat(ctx context.Context) (answer, Summary, error) {
	rec := httptest.NewRecorder()
	sum, err := w.chatTo(ctx, rec)
	return readAnswer(w.t, rec.Body.String()), sum, err
}

func (w *world) chatTo(ctx context.Context, rw http.ResponseWriter) (Summary, error) {
	req := ChatRequest{RequestID: "req-1", Model: "m", Body: chatBody, Priority: 3}
	return w.relay.Chat(ctx, req, w.pick, NewSSESink(rw, SSEOptions{ChunkID: "req-1", RequestID: "req-1"}))
}

// answer is what a caller read from a stream.
type answer struct {
	text   string
	finish string
	done   bool
	failed string
	chunks int
}

func readAnswer(t *testing.T, stream string) answer {
	var a answer
	isError := false
	for line := range strings.Lines(stream) {
		line = strings.TrimSpace(line)
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			isError = line == "event: error"
			continue
		}
		require.False(t, a.done || a.failed != "", "something came after the end: %s", line)
		switch {
		case data == "[DONE]":
			a.done = true
		case isError:
			var e errorBody
			require.NoError(t, json.Unmarshal([]byte(data), &e))
			a.failed = string(e.Error.Code)
		default:
			a.add(t, data)
		}
	}
	return a
}

func (a *answer) add(t *testing.T, data string) {
	var c struct {
		ID      string `json:"id"`
		Seq     int    `json:"seq"`
		Choices []struct {
			Delta        struct{ Content string }
			FinishReason string `json:"finish_reason"`
		}
	}
	require.NoError(t, json.Unmarshal([]byte(data), &c), data)
	require.Equal(t, "req-1", c.ID)
	require.Equal(t, a.chunks, c.Seq)
	a.chunks++
	a.text += c.Choices[0].Delta.Content
	a.finish = c.Choices[0].FinishReason
}

func requireWhole(t *testing.T, a answer) {
	t.Helper()
	require.Equal(t, answer{text: text(answerLength), finish: "stop", done: true, chunks: answerLength + 1}, a)
}

// recorder notes what an Observer hears.
type recorder struct {
	mu    sync.Mutex
	kinds []ResultKind
	ended []Result
	blame []string
	first int
}

func (r *recorder) AttemptStarted(Attempt) {}

func (r *recorder) FirstTokenReceived(Attempt, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.first++
}

func (r *recorder) AttemptEnded(a Attempt, res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds = append(r.kinds, res.Kind)
	r.ended = append(r.ended, res)
	if res.Blamed() {
		r.blame = append(r.blame, a.Target.ID)
	}
}
