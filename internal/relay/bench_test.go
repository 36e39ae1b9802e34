package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// chunkSource is a response body with n chunks, the last chunk and the end
// marker.
type chunkSource struct {
	n, seq int
	buf    []byte
	unread []byte
}

func (c *chunkSource) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		if c.seq > c.n {
			return 0, io.EOF
		}
		c.buf = c.event(c.buf[:0])
		c.unread = c.buf
		c.seq++
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *chunkSource) event(b []byte) []byte {
	b = append(b, `data: {"id":"attempt-1","object":"chat.completion.chunk","created":0,"model":"m","seq":`...)
	b = strconv.AppendInt(b, int64(c.seq), 10)
	if c.seq < c.n {
		return append(b, `,"choices":[{"index":0,"delta":{"content":"quilt "},"finish_reason":null}]}`+"\n\n"...)
	}
	return append(b, `,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n"...)
}

// discardWriter is a ResponseWriter for a caller that reads without delay. It
// counts the bytes written.
type discardWriter struct {
	header http.Header
	bytes  int
}

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { d.bytes += len(p); return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

func (d *discardWriter) SetWriteDeadline(time.Time) error { return nil }

// BenchmarkRelayedChunk measures the cost of one chunk in a stream of b.N chunks,
// without connections.
func BenchmarkRelayedChunk(b *testing.B) {
	r := New(Settings{})
	defer r.Close()
	caller := &discardWriter{header: http.Header{}}
	s := newRequestState(r, ChatRequest{}, nil, NewSSESink(caller, SSEOptions{ChunkID: "request-1"}))
	x := r.newExchange(context.Background(), Attempt{ID: "attempt-1", StartedAt: now()}, false)
	x.watchdog = newWatchdog(x.cancel, PhaseFirstToken, DefaultFirstTokenTimeout)
	b.ReportAllocs()
	b.ResetTimer()
	if err := s.relayStream(x, &chunkSource{n: b.N}); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(caller.bytes)/float64(b.N), "sent-B/op")
}

func BenchmarkParseChunk(b *testing.B) {
	data := (&chunkSource{n: 1 << 30}).event(nil)[len("data: "):]
	var c Chunk
	b.ReportAllocs()
	for b.Loop() {
		if err := parseChunk(&c, data); err != nil {
			b.Fatal(err)
		}
	}
}
