package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["crowd"] = playCrowd }

const (
	// crowdPerGateway is the number of channels of clients that don't read.
	crowdPerGateway = 1600
	// gatherTime is the time over which they come, settleTime the time after that before the
	// ordinary clients are judged.
	gatherTime = 15 * time.Second
	settleTime = 20 * time.Second
	// fullAfter is the time without progress after which a channel counts as full.
	fullAfter = time.Second
	// The receive buffer and the segment size of these clients are small, so that little
	// memory of the kernel is needed.
	crowdReceive    = 2048
	crowdSegment    = 536
	ordinaryClients = 12
)

// try is one request of an ordinary client.
type try struct {
	at     time.Time
	client int
	front  string
	status int
	err    error
}

// playCrowd lets many clients send requests and read no answers, while ordinary clients call.
func playCrowd(w *world) (bool, error) {
	for i := range 3 {
		if _, err := w.addWorker(workerOptions{ID: fmt.Sprintf("i-desk-%d", i), Service: "dispatch-desk", Zone: "selenge-a", Version: "v1", Slots: 6, Queue: 24, WorkMillis: 60, AnswerBytes: 800}); err != nil {
			return false, err
		}
	}
	if err := w.putConfig(3, []map[string]any{plainRoute()}, []map[string]any{plainService()}); err != nil {
		return false, err
	}
	if err := w.startGateways(map[string]int{"selenge-a": 2}); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	var tries callLog
	stop := make(chan struct{})
	var ready readyLog
	go ready.watch(w, stop)
	for client := range ordinaryClients {
		go callOrdinarily(w, client, &tries, stop)
	}
	time.Sleep(8 * time.Second)
	calmEnd := time.Now()
	if n, served := tries.count(time.Time{}, calmEnd); served < n*9/10 || n == 0 {
		return false, fmt.Errorf("calm before the crowd: %d of %d served", served, n)
	}
	var unread crowd
	if w.trouble {
		w.logf("trouble: %d clients a gateway send requests and read no answers", crowdPerGateway)
		unread.gather(w, stop)
	}
	dials, sent := unread.dials.Load(), unread.sent.Load()
	w.logf("trouble: %d channels of clients that don't read are full", unread.full.Load())
	observed := time.Now()
	time.Sleep(30 * time.Second)
	end := time.Now()
	w.logf("trouble: 30 s later %d are full; meanwhile the crowd opened %d channels and sent %d bytes", unread.full.Load(), unread.dials.Load()-dials, unread.sent.Load()-sent)
	close(stop)
	for _, t := range tries.list() {
		w.logf("client %d at %.3f to %s: status %d %v", t.client, t.at.Sub(w.startedAt).Seconds(), t.front, t.status, t.err)
	}
	w.logRuns()
	n, served := tries.count(time.Time{}, calmEnd)
	w.logf("before: %d of %d requests of ordinary clients were served", served, n)
	n, served = tries.count(observed, end)
	w.logf("in the 30 s after the crowd: %d of %d were served", served, n)
	broken := false
	for _, g := range w.gateways {
		span, clients := tries.longestUnserved(g.address(frontPort), observed, end)
		isReady := ready.wasReady(g, observed, end)
		w.logf("%s: ready all the while: %v; the longest time without an answer 200: %.1f s, in which %d clients tried", g.name, isReady, span.Seconds(), clients)
		if span >= contactTime && clients >= 7 && isReady {
			broken = true
		}
	}
	return broken, nil
}

// callOrdinarily sends a request a second, each on a new channel, as clients do: it asks the
// directory first, and keeps the last answer if it gets none.
func callOrdinarily(w *world, client int, tries *callLog, stop <-chan struct{}) {
	var fronts []string
	time.Sleep(time.Duration(client) * time.Second / ordinaryClients)
	for {
		for _, g := range w.gateways {
			if addresses, err := resolve(g.address(directoryPort), g.zone); err == nil {
				fronts = addresses
				break
			}
		}
		if len(fronts) > 0 {
			t := try{at: time.Now(), client: client, front: fronts[rand.IntN(len(fronts))]}
			a := send(t.front, request{method: http.MethodGet, path: "/stock/1", deadline: 3 * time.Second})
			t.status, t.err = a.status, a.err
			tries.add(t)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// crowd is a number of clients that send requests and read no answers.
type crowd struct {
	full, dials, sent atomic.Int64
}

// gather lets the crowd open its channels, over gatherTime. Those that the gateway has closed or
// refused try again after a second, until stop.
func (c *crowd) gather(w *world, stop <-chan struct{}) {
	for _, g := range w.gateways {
		for i := range crowdPerGateway {
			go func() {
				delay := time.Duration(i) * gatherTime / crowdPerGateway
				for {
					select {
					case <-stop:
						return
					case <-time.After(delay):
					}
					c.sendUnread(g.address(frontPort), stop)
					delay = time.Second
				}
			}()
		}
	}
	time.Sleep(gatherTime + settleTime)
}

// sendUnread opens a channel and sends requests on it, one after the other, without reading an
// answer, until the channel is closed or stop. A channel that takes nothing more stays open.
func (c *crowd) sendUnread(address string, stop <-chan struct{}) {
	d := net.Dialer{Timeout: 5 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		ctlErr := raw.Control(func(fd uintptr) {
			err = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, crowdReceive),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, crowdSegment))
		})
		return errors.Join(err, ctlErr)
	}}
	c.dials.Add(1)
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	batch := []byte(strings.Repeat("GET /none HTTP/1.1\r\nHost: "+host+"\r\n\r\n", 64))
	rest, isFull := batch, false
	defer func() {
		if isFull {
			c.full.Add(-1)
		}
	}()
	for {
		_ = conn.SetWriteDeadline(time.Now().Add(fullAfter))
		n, err := conn.Write(rest)
		c.sent.Add(int64(n))
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		switch {
		case n == 0 && !isFull:
			c.full.Add(1)
		case n > 0 && isFull:
			c.full.Add(-1)
		}
		isFull = n == 0
		if rest = rest[n:]; len(rest) == 0 {
			rest = batch
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}

// callLog holds the tries of all ordinary clients.
type callLog struct {
	mu    sync.Mutex
	tries []try
}

func (l *callLog) add(t try) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries = append(l.tries, t)
}

func (l *callLog) list() []try {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]try(nil), l.tries...)
}

func (l *callLog) count(from, until time.Time) (n, served int) {
	for _, t := range l.list() {
		if t.at.Before(from) || !t.at.Before(until) {
			continue
		}
		n++
		if t.status == http.StatusOK {
			served++
		}
	}
	return n, served
}

// longestUnserved returns the longest time in which no client got an answer 200 from the
// gateway, and how many different clients tried in it.
func (l *callLog) longestUnserved(front string, from, until time.Time) (longest time.Duration, clients int) {
	begin, seen := from, make(map[int]bool)
	finish := func(end time.Time) {
		if d := end.Sub(begin); d > longest {
			longest, clients = d, len(seen)
		}
	}
	for _, t := range l.list() {
		if t.front != front || t.at.Before(from) || !t.at.Before(until) {
			continue
		}
		if t.status == http.StatusOK {
			finish(t.at)
			begin, seen = t.at, make(map[int]bool)
			continue
		}
		seen[t.client] = true
	}
	finish(until)
	return longest, clients
}

// readyLog holds what the gateways said of their readiness.
type readyLog struct {
	mu       sync.Mutex
	notReady map[*gateway][]time.Time
}

func (l *readyLog) watch(w *world, stop <-chan struct{}) {
	l.mu.Lock()
	l.notReady = make(map[*gateway][]time.Time)
	l.mu.Unlock()
	for {
		for _, g := range w.gateways {
			if !g.isReady() {
				l.mu.Lock()
				l.notReady[g] = append(l.notReady[g], time.Now())
				l.mu.Unlock()
				w.logf("platform: %s does not say that it is ready", g.name)
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// wasReady reports whether the gateway never said otherwise in a time.
func (l *readyLog) wasReady(g *gateway, from, until time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.notReady[g] {
		if !at.Before(from) && at.Before(until) {
			return false
		}
	}
	return true
}
