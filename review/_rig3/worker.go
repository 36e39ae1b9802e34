package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// workerOptions say what a worker process is and does.
type workerOptions struct {
	ID, Service, Address, Zone, Version, Store, Log string
	Slots, Queue                                    int
	// WorkMillis is the time to the answer, of a stream to its first event.
	WorkMillis int
	// Events is the number of events of a stream, StepMillis the time between two.
	Events, StepMillis int
	// ColdMillis is how long the worker is cold after its start.
	ColdMillis int
	// DeadlyPart is the part of prompts on which the worker crashes when it begins to write an
	// answer; empty for none.
	DeadlyPart string
	// AnswerBytes is the length of a plain answer.
	AnswerBytes int
}

// workerProcess is one start of a worker.
type workerProcess struct {
	workerOptions
	bornAt time.Time
	log    *os.File
	slots  chan struct{}

	mu      sync.Mutex
	waiting int
}

func runWorker(args []string) {
	p := &workerProcess{bornAt: time.Now()}
	if err := json.Unmarshal([]byte(args[0]), &p.workerOptions); err != nil {
		fmt.Fprintln(os.Stderr, "worker:", err)
		os.Exit(exitNotRun)
	}
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, "worker:", err)
		os.Exit(exitNotRun)
	}
	p.log, p.slots = log, make(chan struct{}, p.Slots)
	go p.beat()
	server := &http.Server{Addr: p.Address, Handler: p}
	fmt.Fprintln(os.Stderr, "worker:", server.ListenAndServe())
	os.Exit(exitNotRun)
}

// beat writes the worker's entry about every heartbeat.
func (p *workerProcess) beat() {
	for sequence := 1; ; sequence++ {
		entry, _ := json.Marshal(map[string]any{
			"service": p.Service, "address": p.Address, "zone": p.Zone, "version": p.Version, "slots": p.Slots, "state": "ready",
			"cold-remaining-ms": p.coldRemaining(), "sequence": sequence, "born": p.bornAt.UnixMilli(),
		})
		resp, err := http.Post("http://"+p.Store+"/rig/entry/"+p.ID, "application/json", bytes.NewReader(entry))
		if err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

func (p *workerProcess) coldRemaining() int64 {
	return max(int64(p.ColdMillis)-time.Since(p.bornAt).Milliseconds(), 0)
}

// note writes a line to the worker's log at once, so that a crash loses none.
func (p *workerProcess) note(event, attempt, detail string) {
	fmt.Fprintf(p.log, "%d %s %s %s\n", time.Now().UnixMicro(), event, attempt, detail)
}

// ServeHTTP implements http.Handler.
func (p *workerProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Hickorystage-Instance-Load", p.load())
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		h.Set("Hickorystage-Instance-Id", p.ID)
		if cold := p.coldRemaining(); cold > 0 {
			h.Set("Hickorystage-Cold-Ms", strconv.FormatInt(cold, 10))
		}
		return
	}
	id := r.Header.Get("Hickorystage-Attempt-Id")
	h.Set("Hickorystage-Attempt-Id", id)
	if expected := r.Header.Get("Hickorystage-Expect-Instance"); expected != "" && expected != p.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Hickorystage-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.note("got", id, "from="+r.RemoteAddr)
	if !p.takeSlot(r) {
		h.Set("Hickorystage-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-p.slots }()
	p.note("runs", id, "version="+p.Version+",last="+r.Header.Get("Last-Event-Id"))
	deadline := time.Minute
	if ms, err := strconv.Atoi(r.Header.Get("Hickorystage-Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	end := time.Now().Add(deadline)
	if !pause(r, time.Duration(p.WorkMillis)*time.Millisecond, end) {
		p.note("dropped", id, "-")
		return
	}
	if p.DeadlyPart != "" && strings.Contains(r.Header.Get("Hickorystage-Prompt-Prefix"), p.DeadlyPart+":") {
		p.note("crashed", id, "-")
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
	h.Set("Hickorystage-Response-Stamp", "stamp."+p.ID+"."+id)
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		p.stream(w, r, id, end)
		return
	}
	body := []byte("answer to " + id + " ")
	body = append(body, bytes.Repeat([]byte("."), max(p.AnswerBytes-len(body), 0))...)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
	p.note("done", id, "-")
}

func (p *workerProcess) load() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(p.slots), p.waiting, p.Slots)
}

// takeSlot waits for a slot. It returns false if the queue is full or the caller has left.
func (p *workerProcess) takeSlot(r *http.Request) bool {
	select {
	case p.slots <- struct{}{}:
		return true
	default:
	}
	p.mu.Lock()
	isFull := p.waiting >= p.Queue
	if !isFull {
		p.waiting++
	}
	p.mu.Unlock()
	if isFull {
		return false
	}
	defer func() {
		p.mu.Lock()
		p.waiting--
		p.mu.Unlock()
	}()
	select {
	case p.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// stream writes the events that follow the one named by Last-Event-Id. Each names the version
// of the software that made it.
func (p *workerProcess) stream(w http.ResponseWriter, r *http.Request, id string, end time.Time) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= p.Events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s version=%s worker=%s of=%d\n\n", n, id, p.Version, p.ID, p.Events); err != nil {
			p.note("dropped", id, "-")
			return
		}
		if http.NewResponseController(w).Flush() != nil || n < p.Events && !pause(r, time.Duration(p.StepMillis)*time.Millisecond, end) {
			p.note("dropped", id, "-")
			panic(http.ErrAbortHandler)
		}
	}
	p.note("done", id, "-")
}

// pause waits for d. It returns false if the caller leaves or the deadline comes before.
func pause(r *http.Request, d time.Duration, end time.Time) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(min(d, time.Until(end))):
		return time.Now().Before(end)
	}
}
