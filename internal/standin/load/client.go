package load

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// ConfigError says that a run can't be made as described.
type ConfigError struct{ Reason string }

// Error implements error.
func (e *ConfigError) Error() string { return "invalid load: " + e.Reason }

// ResponseError says that an answer was not whole.
type ResponseError struct{ Status string }

// Error implements error.
func (e *ResponseError) Error() string { return "answer is not whole, status " + e.Status }

func (c Config) validate() error {
	switch {
	case c.Streams < 1 || c.Streams > MaxStreams:
		return &ConfigError{Reason: fmt.Sprintf("streams must be from 1 to %d", MaxStreams)}
	case c.Duration <= 0 || c.Duration*time.Duration(2*c.Rounds) > MaxDuration:
		return &ConfigError{Reason: fmt.Sprintf("all turns together may take at most %v", MaxDuration)}
	case c.Rounds < 1 || c.Tokens < 1:
		return &ConfigError{Reason: "rounds and tokens must be at least 1"}
	}
	for _, base := range []string{c.GatewayURL, c.EngineURL} {
		if err := checkLoopback(base); err != nil {
			return err
		}
	}
	return nil
}

// checkLoopback keeps the load off other machines.
func checkLoopback(base string) error {
	u, err := url.Parse(base)
	if err != nil {
		return &ConfigError{Reason: err.Error()}
	}
	if ip := net.ParseIP(u.Hostname()); ip == nil || !ip.IsLoopback() {
		return &ConfigError{Reason: base + " is not a loopback address"}
	}
	return nil
}

// client sends requests to one side.
type client struct {
	cfg       Config
	base, key string
	transport *http.Transport
}

func newClient(c Config, base, key string) *client {
	return &client{cfg: c, base: base, key: key, transport: &http.Transport{MaxIdleConnsPerHost: c.Streams}}
}

func (cl *client) close() { cl.transport.CloseIdleConnections() }

// sample is what one answer showed.
type sample struct {
	firstByte      time.Duration
	chunkLatencies []time.Duration
}

// complete sends one request and reads its answer. Each caller and turn has its own
// prompt.
func (cl *client) complete(ctx context.Context, caller, turn int) (sample, error) {
	body := fmt.Appendf(nil, `{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"question %d of caller %d"}]}`,
		cl.cfg.Model, !cl.cfg.Plain, cl.cfg.Tokens, turn, caller)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.base+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return sample{}, errors.Wrap(err, "make request")
	}
	req.Header.Set("Content-Type", "application/json")
	if cl.key != "" {
		req.Header.Set("Authorization", "Bearer "+cl.key)
	}
	start := time.Now()
	resp, err := cl.transport.RoundTrip(req)
	if err != nil {
		return sample{}, errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return sample{}, &ResponseError{Status: resp.Status}
	}
	if cl.cfg.Plain {
		_, err := io.Copy(io.Discard, resp.Body)
		return sample{firstByte: time.Since(start)}, err
	}
	return readStream(resp, start)
}

var (
	sentAtField = []byte(`"sent_at_ns":`)
	doneEvent   = []byte("data: [DONE]")
)

// readStream reads a stream to its end mark.
func readStream(resp *http.Response, start time.Time) (sample, error) {
	var s sample
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Bytes()
		if bytes.Equal(line, doneEvent) {
			_, err := io.Copy(io.Discard, resp.Body)
			return s, err
		}
		now := time.Now()
		sent, ok := parseSentAt(line)
		if !ok {
			continue
		}
		if len(s.chunkLatencies) == 0 {
			s.firstByte = now.Sub(start)
		}
		s.chunkLatencies = append(s.chunkLatencies, time.Duration(now.UnixNano()-sent))
	}
	return s, &ResponseError{Status: resp.Status}
}

func parseSentAt(line []byte) (int64, bool) {
	_, rest, ok := bytes.Cut(line, sentAtField)
	if !ok {
		return 0, false
	}
	digits, _, _ := bytes.Cut(rest, []byte("}"))
	n, err := strconv.ParseInt(string(digits), 10, 64)
	return n, err == nil
}
