// Package caller is a small client of the gateway, for the demonstration and
// for tests: it finds its entries in the directory and sends one request of
// each kind.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hickorystage/hickorystage/internal/gateway"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// maxResponseBytes bounds an answer that is read.
const maxResponseBytes = 4 << 20

// StatusError says that the gateway refused a request.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// NoGatewayError says that the directory names no gateway.
type NoGatewayError struct{}

// Error implements error.
func (e *NoGatewayError) Error() string { return "the directory names no gateway" }

// IncompleteStreamError says that a stream ended without its end mark.
type IncompleteStreamError struct{ Event string }

// Error implements error.
func (e *IncompleteStreamError) Error() string { return "stream ended without [DONE]: " + e.Event }

// Client calls one gateway with one customer's key.
type Client struct {
	HTTP    *http.Client
	Address string
	Key     string
}

// Find returns a client of the first gateway of region that the directory
// names; an empty region takes any.
func Find(ctx context.Context, directory platform.Directory, region, key string) (*Client, error) {
	found, err := directory.Lookup(ctx)
	if err != nil {
		return nil, err
	}
	for _, r := range found {
		if region == "" || r.Region == region {
			return &Client{HTTP: &http.Client{}, Address: r.Address, Key: key}, nil
		}
	}
	return nil, &NoGatewayError{}
}

// Response is what a caller got.
type Response struct {
	Status   int
	ServedBy string
	Body     []byte
	Duration time.Duration
}

// Do sends one request and reads its whole answer.
func (c *Client) Do(ctx context.Context, method, path string, header map[string]string, body any) (*Response, error) {
	start := time.Now()
	resp, err := c.send(ctx, method, path, header, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	return &Response{
		Status:   resp.StatusCode,
		ServedBy: resp.Header.Get(gateway.HeaderServedBy),
		Body:     raw,
		Duration: time.Since(start),
	}, nil
}

func (c *Client) send(ctx context.Context, method, path string, header map[string]string, body any) (*http.Response, error) {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return c.HTTP.Do(req)
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatBody is the body of a chat request.
type ChatBody struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

// StreamResponse is a streamed answer, put together.
type StreamResponse struct {
	Text     string
	Chunks   int
	ServedBy string
	TTFT     time.Duration
	Duration time.Duration
}

type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// Stream sends a chat and puts its streamed answer together. Its error is a
// *StatusError or a *BrokenStreamError unless the connection failed.
func (c *Client) Stream(ctx context.Context, body ChatBody) (*StreamResponse, error) {
	body.Stream = true
	start := time.Now()
	resp, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", nil, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		return nil, &StatusError{Status: resp.StatusCode, Body: string(raw)}
	}
	out := &StreamResponse{ServedBy: resp.Header.Get(gateway.HeaderServedBy)}
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		done, err := out.addLine(scanner.Text(), start)
		if err != nil {
			return out, err
		}
		if done {
			out.Duration = time.Since(start)
			return out, nil
		}
	}
	return out, &IncompleteStreamError{}
}

// addLine takes in one line of the stream and says whether it is the end mark.
func (s *StreamResponse) addLine(line string, start time.Time) (done bool, err error) {
	if strings.HasPrefix(line, "event: error") {
		return false, &IncompleteStreamError{Event: line}
	}
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return false, nil
	}
	if data == "[DONE]" {
		return true, nil
	}
	var chunk streamChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return false, err
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content == "" {
			continue
		}
		if s.Chunks == 0 {
			s.TTFT = time.Since(start)
		}
		s.Chunks++
		s.Text += choice.Delta.Content
	}
	return false, nil
}
