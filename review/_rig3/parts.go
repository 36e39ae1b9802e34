package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["parts"] = playParts }

const (
	// Requests with partsPerPrompt parts come at manyPerSecond at each gateway, for manyTime. The
	// head of each stays below max-header-bytes, 16,384.
	partsPerPrompt = 3000
	manyPerSecond  = 5
	manyTime       = 40 * time.Second
	// growTime is the time after their beginning from which on ordinary requests are judged.
	growTime = 10 * time.Second
	// shortTimeout is the timeout-ms of the route of short questions, answerSlack what the rule
	// adds to it.
	shortTimeout = 3 * time.Second
	answerSlack  = 500 * time.Millisecond
	// leastUnanswered is the least number of unanswered requests for a verdict.
	leastUnanswered = 20
)

// manyParts returns a prompt of many small parts, all of its own.
func manyParts() string {
	var b strings.Builder
	for range partsPerPrompt {
		fmt.Fprintf(&b, "%02x:1,", rand.IntN(256))
	}
	return b.String() + newID()[:8] + ":10"
}

// question is one request of an ordinary client, with the time to its answer or to its end.
type question struct {
	at     time.Time
	took   time.Duration
	status int
}

// playParts lets requests with prompts of many parts come, while ordinary clients ask questions.
func playParts(w *world) (bool, error) {
	if err := w.addPlanners(func(o *workerOptions) { o.Events = 6 }); err != nil {
		return false, err
	}
	if err := w.putConfig(3, []map[string]any{shortRoute()}, []map[string]any{plannerService()}); err != nil {
		return false, err
	}
	if err := w.startGateways(map[string]int{"selenge-a": 2}); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	var mu sync.Mutex
	var questions []question
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for client := range ordinaryClients {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
				front := w.gateways[(client+n)%len(w.gateways)].address(frontPort)
				begun := time.Now()
				// The client waits longer than the route's timeout, to see the answer.
				a := send(front, request{method: http.MethodPost, path: "/stream/triage/1", body: "question", deadline: 3 * shortTimeout, prompt: prompt("aa01", fmt.Sprintf("bb%02d", rand.IntN(40)))})
				q := question{at: begun, took: time.Since(begun), status: a.status}
				w.logf("client %d: question %s from %s: status %d, whole %v, after %.3f s %v", client, a.id, front, a.status, a.isWhole, q.took.Seconds(), a.err)
				mu.Lock()
				questions = append(questions, q)
				mu.Unlock()
			}
		})
	}
	time.Sleep(8 * time.Second)
	began := time.Now()
	if w.trouble {
		w.logf("trouble: %d requests a second with prompts of %d parts come at each gateway", manyPerSecond, partsPerPrompt)
		clients.Go(func() { sendManyParts(w, began.Add(manyTime)) })
	}
	for time.Since(began) < manyTime {
		time.Sleep(5 * time.Second)
		for _, g := range w.gateways {
			w.logf("%s: ready %v, processor time %s s, resident memory %s MB", g.name, g.isReady(), g.processorTime(), g.residentMemory())
		}
	}
	end := time.Now()
	close(stop)
	clients.Wait()
	w.logRuns()
	mu.Lock()
	defer mu.Unlock()
	report := func(name string, from, until time.Time) (unanswered, late int) {
		n, served := 0, 0
		for _, q := range questions {
			if q.at.Before(from) || !q.at.Before(until) {
				continue
			}
			n++
			if q.status == http.StatusOK {
				served++
			}
			if q.took > shortTimeout {
				unanswered++
			}
			if q.took > shortTimeout+answerSlack {
				late++
			}
		}
		w.logf("%s: %d questions, %d begun with 200, %d without their end at the route's timeout, %d of these %v later", name, n, served, unanswered, late, answerSlack)
		return unanswered, late
	}
	report("before", time.Time{}, began)
	unanswered, late := report("from 10 s after the first prompts of many parts", began.Add(growTime), end)
	return unanswered >= leastUnanswered && late > unanswered/2, nil
}

// sendManyParts sends the requests with prompts of many parts until end.
func sendManyParts(w *world, end time.Time) {
	var all sync.WaitGroup
	for time.Now().Before(end) {
		for _, g := range w.gateways {
			all.Go(func() {
				a := send(g.address(frontPort), request{method: http.MethodPost, path: "/stream/triage/1", body: "question", deadline: shortTimeout, prompt: manyParts()})
				w.logf("client: request %s with many parts from %s: status %d, whole %v %v", a.id, g.name, a.status, a.isWhole, a.err)
			})
		}
		time.Sleep(time.Second / manyPerSecond)
	}
	all.Wait()
}

// processorTime returns the processor time that the gateway's process has used, in seconds.
func (g *gateway) processorTime() string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", g.pid()))
	if err != nil {
		return "?"
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return fmt.Sprintf("%.1f", float64(user+system)/100)
}

// residentMemory returns the resident memory of the gateway's process in MB.
func (g *gateway) residentMemory() string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", g.pid()))
	if err != nil {
		return "?"
	}
	pages, _ := strconv.Atoi(strings.Fields(string(text))[1])
	return strconv.Itoa(pages * os.Getpagesize() >> 20)
}

func (g *gateway) pid() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cmd.Process.Pid
}
