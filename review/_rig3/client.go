package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request is one client attempt.
type request struct {
	method, path, body string
	deadline           time.Duration
	prompt             string
}

// answer is what a client got.
type answer struct {
	id     string
	status int
	body   string
	err    error
	// events are those of a stream; isWhole says that the answer ended as complete.
	events  []event
	isWhole bool
}

// event is one event of a stream.
type event struct {
	id              int
	version, worker string
}

const host = "tuul.example"

// resolve asks the directory at one gateway.
func resolve(directory, zone string) ([]string, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	query := url.Values{"name": {host}, "region": {strings.TrimSuffix(zone, "-a")}, "zone": {zone}}
	resp, err := client.Get("http://" + directory + "/resolve?" + query.Encode())
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || resp.StatusCode != http.StatusOK || len(body.Addresses) == 0 {
		return nil, fmt.Errorf("status %d without addresses", resp.StatusCode)
	}
	return body.Addresses, nil
}

// send sends a request on a new channel and reads the answer.
func send(address string, r request) answer {
	a := answer{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	var body io.Reader
	if r.body != "" {
		body = strings.NewReader(r.body)
	}
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, body)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("Hickorystage-Attempt-Id", a.id)
	req.Header.Set("Hickorystage-Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.prompt != "" {
		req.Header.Set("Hickorystage-Model", "m")
		req.Header.Set("Hickorystage-Token-Count", fmt.Sprintf("%d,400", countTokens(r.prompt)))
		req.Header.Set("Hickorystage-Prompt-Prefix", r.prompt)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	if strings.HasPrefix(r.path, "/stream/") && a.status == http.StatusOK {
		a.readEvents(resp.Body)
		return a
	}
	text, err := io.ReadAll(resp.Body)
	a.body, a.err, a.isWhole = string(text), err, err == nil
	return a
}

// readEvents reads a stream to its end.
func (a *answer) readEvents(body io.Reader) {
	reader := bufio.NewReader(body)
	var current event
	for {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) && line == "" {
			a.isWhole = true
			return
		}
		if err != nil {
			a.err = err
			return
		}
		switch {
		case strings.HasPrefix(line, "id: "):
			current.id, _ = strconv.Atoi(strings.TrimSpace(line[len("id: "):]))
		case strings.HasPrefix(line, "data: "):
			for _, field := range strings.Fields(line) {
				if v, ok := strings.CutPrefix(field, "version="); ok {
					current.version = v
				}
				if v, ok := strings.CutPrefix(field, "worker="); ok {
					current.worker = v
				}
			}
		case line == "\n":
			a.events = append(a.events, current)
			current = event{}
		}
	}
}

// countTokens returns the sum of the tokens of a prompt's parts.
func countTokens(prompt string) int {
	sum := 0
	for part := range strings.SplitSeq(prompt, ",") {
		_, tokens, _ := strings.Cut(part, ":")
		n, _ := strconv.Atoi(tokens)
		sum += n
	}
	return sum
}

// prompt returns the parts of a prompt: those shared and one of its own.
func prompt(shared ...string) string {
	var parts []string
	for _, id := range shared {
		parts = append(parts, id+":400")
	}
	return strings.Join(append(parts, newID()[:8]+":250"), ",")
}
