package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is heartbeat-ms. The platform removes the entry of a worker that has been silent for
// three of them.
const heartbeat = 1200 * time.Millisecond

// run is one request that reached a worker.
type run struct {
	at                                time.Time
	worker, version, attempt, outcome string
	path                              string
	parts                             []string
}

// workload is how a worker handles requests.
type workload struct {
	// events and gap are the number of events of a stream and the time before each.
	events int
	gap    time.Duration
	// plain is how long a request to another route takes.
	plain time.Duration
	// deadlyPart is the part of a prompt that crashes the worker when it begins to write an
	// answer on it; empty for none. backAfter is the time from a crash to the next start.
	deadlyPart string
	// deadlyPath is the path of requests that crash the worker; empty for none.
	deadlyPath string
	backAfter  time.Duration
	// coldCrash is the number of requests in a second above which a cold worker crashes; 0 for
	// none.
	coldCrash int
	// coldStart is cold-start-s: how long the worker is cold after a start during traffic.
	coldStart time.Duration
}

// worker plays one worker. It registers in the store and can crash and start again.
type worker struct {
	world   *world
	id      string
	service string
	zone    string
	address string
	slots   int
	queue   int
	load    workload

	mu                   sync.Mutex
	version              string
	born                 int64
	sequence             int64
	up                   bool
	listener             net.Listener
	conns                map[net.Conn]struct{}
	server               *http.Server
	crashes              int
	running              int
	waiting              int
	coldSince, coldUntil time.Time
	// beatAt is when the entry was last written, hasEntry is set while the store has it.
	beatAt   time.Time
	hasEntry bool
	places   chan struct{}
	ended    chan struct{}
	endOnce  sync.Once

	runsMu sync.Mutex
	runs   []run
}

// addWorker starts a worker at an address of its own.
func (w *world) addWorker(id, service, zone, version string, slots, queue int, load workload) (*worker, error) {
	s := &worker{
		world: w, id: id, service: service, zone: zone, address: w.host() + ":8587", slots: slots, queue: queue, load: load,
		version: version, places: make(chan struct{}, slots), ended: make(chan struct{}),
	}
	if err := s.start(version); err != nil {
		return nil, err
	}
	w.workers = append(w.workers, s)
	go func() {
		ticker, checks := time.NewTicker(heartbeat), time.NewTicker(50*time.Millisecond)
		defer ticker.Stop()
		defer checks.Stop()
		for {
			select {
			case <-s.ended:
				return
			case <-ticker.C:
				s.beat()
			case <-checks.C:
				s.expire()
			}
		}
	}()
	return s, nil
}

// start starts the worker under its id, as a new incarnation, and writes its entry at once.
func (s *worker) start(version string) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.version, s.born, s.sequence, s.up = version, time.Now().UnixMilli(), 0, true
	if s.crashes > 0 {
		s.coldSince, s.coldUntil = time.Now(), time.Now().Add(s.load.coldStart)
	}
	s.listener, s.conns = l, make(map[net.Conn]struct{})
	s.server = &http.Server{Handler: s, ConnState: s.track}
	server := s.server
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	s.world.record.line("worker %s starts, version %s", s.id, version)
	s.beat()
	return nil
}

func (s *worker) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// beat writes the worker's entry to the store.
func (s *worker) beat() {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": "ready",
		"cold-remaining-ms": max(time.Until(s.coldUntil).Milliseconds(), 0), "sequence": s.sequence, "born": s.born,
	})
	s.beatAt, s.hasEntry = time.Now(), true
	s.mu.Unlock()
	s.world.store.Put("servers/"+s.id, value)
}

// expire removes the entry, as the platform does, once the worker has been silent for too long.
func (s *worker) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up || !s.hasEntry || time.Since(s.beatAt) < 3*heartbeat {
		return
	}
	s.hasEntry = false
	s.world.store.Delete("servers/" + s.id)
	s.world.record.line("the entry of worker %s is removed", s.id)
}

// crash ends the worker at once: its listener is closed and all its channels are reset.
func (s *worker) crash(why string) {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	s.crashes++
	n := s.crashes
	_ = s.listener.Close()
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	server := s.server
	s.mu.Unlock()
	s.world.record.line("worker %s crashes (%s), its crash %d", s.id, why, n)
	go func() { _ = server.Close() }()
}

func (s *worker) end() {
	s.endOnce.Do(func() {
		close(s.ended)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.up = false
		_ = s.server.Close()
	})
}

func (s *worker) add(r run) {
	s.world.record.line("worker %s (%s): %s %s, %s", r.worker, r.version, r.attempt, r.path, r.outcome)
	s.runsMu.Lock()
	defer s.runsMu.Unlock()
	s.runs = append(s.runs, r)
}

func (s *worker) allRuns() []run {
	s.runsMu.Lock()
	defer s.runsMu.Unlock()
	return append([]run(nil), s.runs...)
}

// ServeHTTP implements http.Handler.
func (s *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	id := r.Header.Get("Hickorystage-Attempt-Id")
	if id != "" {
		w.Header().Set("Hickorystage-Attempt-Id", id)
	}
	w.Header().Set("Hickorystage-Instance-Id", s.id)
	w.Header().Set("Keep-Alive", "timeout=15")
	if want := r.Header.Get("Hickorystage-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/report" {
		s.mu.Lock()
		defer s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"prefill_decode","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":%d,"running":%d,"kv-used":0,"kv-total":400000,"handles":0}`, s.waiting, s.running)
		return
	}
	isHealth := r.URL.Path == "/health"
	if !isHealth && id == "" {
		w.Header().Set("Hickorystage-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	parts := promptParts(r.Header.Get("Hickorystage-Prompt-Prefix"))
	arrival := run{at: time.Now(), worker: s.id, version: version, attempt: id, path: r.URL.Path, parts: parts}
	release, ok := s.place(r)
	s.setLoad(w.Header())
	if !ok {
		if r.Context().Err() != nil {
			return
		}
		arrival.outcome = "rejected, full"
		if !isHealth {
			s.add(arrival)
		} else {
			s.world.record.line("worker %s rejects a health check, full", s.id)
		}
		w.Header().Set("Hickorystage-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer release()
	if isHealth {
		s.mu.Lock()
		remaining := time.Until(s.coldUntil)
		s.mu.Unlock()
		if remaining > 0 {
			w.Header().Set("Hickorystage-Cold-Ms", strconv.FormatInt(remaining.Milliseconds(), 10))
		}
		return
	}
	arrival.outcome = "runs"
	s.add(arrival)
	w.Header().Set("Hickorystage-Response-Stamp", s.id+"."+version)
	w.Header().Set("Hickorystage-Weight-Versions", "1")
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("Hickorystage-Deadline-Ms")); err == nil {
		timer := time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Now()) })
		defer timer.Stop()
	}
	if n := s.coldArrivals(); s.load.coldCrash > 0 && n > s.load.coldCrash {
		s.fallOver(version, fmt.Sprintf("%d requests in a second while it is cold", n))
		panic(http.ErrAbortHandler)
	}
	if s.load.deadlyPart != "" && contains(parts, s.load.deadlyPart) {
		s.fallOver(version, "part "+s.load.deadlyPart+" in request "+id)
		panic(http.ErrAbortHandler)
	}
	if s.load.deadlyPath != "" && r.URL.Path == s.load.deadlyPath {
		s.fallOver(version, "request "+id)
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(r.URL.Path, "/status/") {
		if sleep(ctx, s.load.plain) {
			fmt.Fprintf(w, "answer of %s to %s\n", s.id, id)
		}
		return
	}
	s.stream(w, r, version)
}

// coldArrivals returns the number of requests that arrived in the last second, of those since the
// worker turned cold; 0 if it is warm.
func (s *worker) coldArrivals() int {
	s.mu.Lock()
	since, isCold := s.coldSince, time.Now().Before(s.coldUntil)
	s.mu.Unlock()
	if !isCold {
		return 0
	}
	if second := time.Now().Add(-time.Second); second.After(since) {
		since = second
	}
	n := 0
	for _, r := range s.allRuns() {
		if r.at.After(since) {
			n++
		}
	}
	return n
}

// setCold lets the worker be cold for the given time.
func (s *worker) setCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldSince, s.coldUntil = time.Now(), time.Now().Add(d)
}

// fallOver crashes the worker and starts it again some seconds later.
func (s *worker) fallOver(version, why string) {
	s.crash(why)
	time.AfterFunc(s.load.backAfter, func() {
		s.mu.Lock()
		isBack := s.up
		s.mu.Unlock()
		select {
		case <-s.ended:
		default:
			if !isBack {
				if err := s.start(version); err != nil {
					s.world.record.line("worker %s can't start: %v", s.id, err)
				}
			}
		}
	})
}

// stream writes the events after Last-Event-Id. Each names the worker and its version.
func (s *worker) stream(w http.ResponseWriter, r *http.Request, version string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	id := r.Header.Get("Hickorystage-Attempt-Id")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= s.load.events; n++ {
		if !sleep(r.Context(), s.load.gap) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s event %d of %s\n\n", n, s.id, version, n, id); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// place waits for a slot. It returns false if the queue is full or the caller has left.
func (s *worker) place(r *http.Request) (release func(), ok bool) {
	s.mu.Lock()
	if len(s.places) == cap(s.places) && s.waiting >= s.queue {
		s.mu.Unlock()
		return nil, false
	}
	s.waiting++
	s.mu.Unlock()
	ok = true
	select {
	case s.places <- struct{}{}:
	case <-r.Context().Done():
		ok = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if !ok {
		return nil, false
	}
	s.running++
	return func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
		<-s.places
	}, true
}

func (s *worker) setLoad(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Set("Hickorystage-Instance-Load", fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots))
}

// promptParts returns the ids of the parts of a prompt.
func promptParts(header string) []string {
	var out []string
	for entry := range strings.SplitSeq(header, ",") {
		if id, _, ok := strings.Cut(strings.TrimSpace(entry), ":"); ok {
			out = append(out, id)
		}
	}
	return out
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
