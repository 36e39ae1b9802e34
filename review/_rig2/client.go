package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var client = http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

var attemptCounter atomic.Int64

// request is one attempt of a client.
type request struct {
	method, path, body string
	parts              string
	tokens             string
	deadline           time.Duration
	lastEvent          int
	resumes            string
}

// answer is what a client got.
type answer struct {
	id, gateway string
	sentAt      time.Time
	status      int
	retryAfter  time.Duration
	stamp       string
	// events holds the data of the events of a stream.
	events   []string
	body     string
	complete bool
	err      error
}

// send sends a request to a gateway on a new channel.
func (w *world) send(g *gateway, r request) *answer {
	a := &answer{id: fmt.Sprintf("a%06x", attemptCounter.Add(1)), gateway: g.name, sentAt: time.Now()}
	w.record.line("client: sends %s %s %s to %s, parts %q", a.id, r.method, r.path, g.name, r.parts)
	defer func() {
		w.record.line("client: %s is answered: status %d, stamp %q, %d events, complete %v, retry after %v, err %v", a.id, a.status, a.stamp, len(a.events), a.complete, a.retryAfter, a.err)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+g.address(portFront)+r.path, strings.NewReader(r.body))
	if err != nil {
		a.err = err
		return a
	}
	req.GetBody = nil
	req.Host = "ficu95.example"
	req.Header.Set("Hickorystage-Attempt-Id", a.id)
	req.Header.Set("Hickorystage-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.parts != "" {
		req.Header.Set("Hickorystage-Model", "m")
		req.Header.Set("Hickorystage-Token-Count", r.tokens)
		req.Header.Set("Hickorystage-Prompt-Prefix", r.parts)
	}
	if r.lastEvent > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(r.lastEvent))
		req.Header.Set("Resumes", r.resumes)
	}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.stamp = resp.StatusCode, resp.Header.Get("Hickorystage-Response-Stamp")
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		body, err := io.ReadAll(resp.Body)
		a.body, a.complete, a.err = string(body), err == nil, err
		return a
	}
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			a.events = append(a.events, data)
		}
		if err == io.EOF {
			a.complete = true
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
	}
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// sendEach sends a request each interval, to the gateways in turn, until
// the given time after the start, and waits for all answers.
func (w *world) sendEach(interval, until time.Duration, make func(n int) request, each func(n int, a *answer)) {
	var wg sync.WaitGroup
	next := time.Now()
	for n := 0; time.Since(w.record.start) < until; n++ {
		g := w.gateways[n%len(w.gateways)]
		wg.Go(func() { each(n, w.send(g, make(n))) })
		next = next.Add(interval)
		time.Sleep(time.Until(next))
	}
	wg.Wait()
}
