package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["upgrade"] = playUpgrade }

const (
	// In each round so many workers come back with newer software: no more than 0.17 of all.
	upgradedAtOnce = 2
	upgradeRounds  = 5
	// A group of clients sends streams each groupInterval; a stream takes some 2.1 s.
	groupSize     = 48
	groupInterval = 7 * time.Second
	// The workers crash crashBefore before a group at least, at a random moment of a second, and
	// come back after downTime: up to a second before the group.
	crashBefore = 1100 * time.Millisecond
	downTime    = time.Second
	// secondCrash is how long after the group has come the newer software crashes.
	secondCrash = 1200 * time.Millisecond
)

// playUpgrade lets workers crash and come back under their ids with newer software, which
// crashes under its first streams.
func playUpgrade(w *world) (bool, error) {
	if err := w.addPlanners(func(o *workerOptions) { o.Events = 24 }); err != nil {
		return false, err
	}
	if err := w.putConfig(3, []map[string]any{streamRoute()}, []map[string]any{plannerService()}); err != nil {
		return false, err
	}
	if err := w.startGateways(map[string]int{"selenge-a": 3}); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	var streams streamLog
	streams.sendGroup(w)
	for round := range upgradeRounds {
		before := crashBefore + time.Duration(rand.Int64N(int64(time.Second)))
		time.Sleep(groupInterval - before)
		if w.trouble {
			for i := range upgradedAtOnce {
				go w.workers[round*upgradedAtOnce+i].upgrade()
			}
		}
		time.Sleep(before)
		streams.sendGroup(w)
		if w.trouble {
			time.Sleep(secondCrash)
			for i := range upgradedAtOnce {
				go w.workers[round*upgradedAtOnce+i].crashOnce()
			}
		}
		time.Sleep(groupInterval)
		streams.sendGroup(w)
	}
	streams.clients.Wait()
	w.logRuns()
	return streams.judge(w), nil
}

// upgrade crashes the worker, which comes back under its id with newer software.
func (k *worker) upgrade() {
	k.kill()
	time.Sleep(downTime)
	k.mu.Lock()
	k.options.Version, k.options.ColdMillis = "v2", 3000
	k.mu.Unlock()
	_ = k.start()
}

// crashOnce crashes the worker, which comes back after downTime.
func (k *worker) crashOnce() {
	k.kill()
	time.Sleep(downTime)
	_ = k.start()
}

// streamLog holds the answers to streams.
type streamLog struct {
	clients sync.WaitGroup
	mu      sync.Mutex
	answers []answer
}

// sendGroup sends the streams of a group, spread over a fifth of a second.
func (l *streamLog) sendGroup(w *world) {
	w.logf("client: a group of %d streams", groupSize)
	for n := range groupSize {
		front := w.gateways[n%len(w.gateways)].address(frontPort)
		l.clients.Go(func() {
			time.Sleep(time.Duration(n) * 200 * time.Millisecond / groupSize)
			a := send(front, request{method: http.MethodPost, path: "/stream/plan/1", body: "plan", deadline: 12 * time.Second, prompt: prompt("aa01", fmt.Sprintf("bb%02d", n))})
			l.mu.Lock()
			defer l.mu.Unlock()
			l.answers = append(l.answers, a)
			w.logf("client: stream %s from %s: status %d, %d events, whole %v, by %s %v", a.id, front, a.status, len(a.events), a.isWhole, strings.Join(a.parts(), " "), a.err)
		})
	}
}

// parts returns the spans of events of an answer, each with its worker and its version.
func (a *answer) parts() []string {
	var out []string
	for i := 0; i < len(a.events); {
		j := i
		for j < len(a.events) && a.events[j].worker == a.events[i].worker && a.events[j].version == a.events[i].version {
			j++
		}
		out = append(out, fmt.Sprintf("%d-%d:%s/%s", a.events[i].id, a.events[j-1].id, a.events[i].worker, a.events[i].version))
		i = j
	}
	return out
}

// judge reports whether more than two streams hold events of two software versions.
func (l *streamLog) judge(w *world) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	mixed, whole := 0, 0
	for _, a := range l.answers {
		versions := make(map[string]bool)
		for _, e := range a.events {
			versions[e.version] = true
		}
		if a.isWhole && len(a.events) > 0 {
			whole++
		}
		if len(versions) > 1 {
			mixed++
			w.logf("stream %s holds events of %d versions: %s", a.id, len(versions), strings.Join(a.parts(), " "))
		}
	}
	w.logf("%d streams, %d whole, %d with events of two software versions", len(l.answers), whole, mixed)
	return mixed > 2
}
