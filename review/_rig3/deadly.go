package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["deadly"] = playDeadly }

const (
	// deadlyPart is the part of a prompt that crashes workers.
	deadlyPart = "dead0001"
	// A group of so many requests with that part comes each deadlyInterval.
	deadlyGroup    = 5
	deadlyInterval = 10 * time.Second
	deadlyGroups   = 7
	// killAfter is the group after which all gateways are killed. The part has been held back
	// since the third.
	killAfter = 3
	// crashDown is how long a worker that has crashed is down.
	crashDown = 3 * time.Second
	// soundPerSecond is the rate of sound requests.
	soundPerSecond = 10
)

// playDeadly lets groups of requests come with a part of a prompt that crashes workers, and
// kills all gateways at once between two groups, long after the part was found out.
func playDeadly(w *world) (bool, error) {
	if err := w.addPlanners(func(o *workerOptions) { o.DeadlyPart, o.Events = deadlyPart, 6 }); err != nil {
		return false, err
	}
	if err := w.putConfig(3, []map[string]any{shortRoute()}, []map[string]any{plannerService()}); err != nil {
		return false, err
	}
	if err := w.startGateways(map[string]int{"selenge-a": 3}); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	for _, k := range w.workers {
		tasks.Go(func() { k.restartAfterCrashes(stop) })
	}
	time.Sleep(contactTime)
	var sound answerLog
	tasks.Go(func() { sound.keepSending(w, stop) })
	time.Sleep(3 * time.Second)
	deadly := make(map[string]bool)
	var gathered sync.Mutex
	var killedAt time.Time
	for group := range deadlyGroups {
		var all sync.WaitGroup
		for i := range deadlyGroup {
			all.Go(func() {
				front := w.gateways[(i+group)%len(w.gateways)].address(frontPort)
				a := send(front, request{method: http.MethodPost, path: "/stream/triage/1", body: "question", deadline: 3 * time.Second, prompt: prompt("aa01", deadlyPart)})
				gathered.Lock()
				deadly[a.id] = true
				gathered.Unlock()
				w.logf("client: request %s with the part, group %d, from %s: status %d, %d events, whole %v %v", a.id, group, front, a.status, len(a.events), a.isWhole, a.err)
			})
		}
		all.Wait()
		if group == killAfter && w.trouble {
			killedAt = time.Now()
			var kills sync.WaitGroup
			for _, g := range w.gateways {
				kills.Go(g.kill)
			}
			kills.Wait()
		}
		time.Sleep(deadlyInterval)
	}
	close(stop)
	tasks.Wait()
	w.logRuns()
	sound.summarize(w)
	return judgeDeadly(w, deadly, killedAt), nil
}

// judgeDeadly reports whether more than three requests with the part reached workers, sent by
// gateways in touch later than contactTime after the fifth crash.
func judgeDeadly(w *world, deadly map[string]bool, killedAt time.Time) bool {
	var crashes, late int
	var fifth time.Time
	for _, r := range w.runs() {
		if !deadly[r.attempt] {
			continue
		}
		if r.event == "crashed" {
			if crashes++; crashes == 5 {
				fifth = r.at
			}
		}
		if r.event != "got" || fifth.IsZero() || r.at.Before(fifth.Add(contactTime)) {
			continue
		}
		// The gateways are in touch again contactTime after they were started again.
		if !killedAt.IsZero() && r.at.After(killedAt) && r.at.Before(killedAt.Add(restartDelay+contactTime+500*time.Millisecond)) {
			continue
		}
		late++
		w.logf("request %s with the part reached worker %s %.1f s after the fifth crash, sent by a gateway in touch", r.attempt, r.worker, r.at.Sub(fifth).Seconds())
	}
	w.logf("%d crashes; %d requests with the part reached workers later than %v after the fifth, sent by gateways in touch", crashes, late, contactTime)
	return late > 3
}

// restartAfterCrashes starts the worker again, as a new incarnation with a new id, whenever it has
// crashed.
func (k *worker) restartAfterCrashes(stop <-chan struct{}) {
	for life := 1; ; {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if !k.hasEnded() {
			continue
		}
		k.world.logf("worker %s has crashed", k.options.ID)
		time.Sleep(crashDown)
		k.mu.Lock()
		life++
		base, _, _ := strings.Cut(k.options.ID, ".")
		k.options.ID, k.options.ColdMillis = fmt.Sprintf("%s.%d", base, life), 3000
		k.mu.Unlock()
		_ = k.start()
	}
}

// answerLog holds the answers to sound requests.
type answerLog struct {
	mu      sync.Mutex
	answers []answer
}

// keepSending sends sound requests, which share the first part, until stop.
func (l *answerLog) keepSending(w *world, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second / soundPerSecond):
		}
		front := w.gateways[rand.IntN(len(w.gateways))].address(frontPort)
		go func() {
			a := send(front, request{method: http.MethodPost, path: "/stream/triage/1", body: "question", deadline: 3 * time.Second, prompt: prompt("aa01", fmt.Sprintf("bb%02d", rand.IntN(40)))})
			l.mu.Lock()
			defer l.mu.Unlock()
			l.answers = append(l.answers, a)
			w.logf("client: sound request %s from %s: status %d, %d events, whole %v %v", a.id, front, a.status, len(a.events), a.isWhole, a.err)
		}()
	}
}

func (l *answerLog) summarize(w *world) {
	l.mu.Lock()
	defer l.mu.Unlock()
	whole, cut := 0, 0
	for _, a := range l.answers {
		switch {
		case a.isWhole && a.status == http.StatusOK:
			whole++
		case a.status == http.StatusOK:
			cut++
		}
	}
	w.logf("sound requests: %d, whole %d, cut off midway %d", len(l.answers), whole, cut)
}
