package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// engine is the engine part of a service of model workers, as the pages show it.
var engine = map[string]any{
	"slots": 64, "kv-capacity-tokens": 444719, "kv-token-bytes": 18432, "link-mbps": 550000.0, "moves": true, "backups": true, "stride": 8,
	"most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
}

// coldStart is how long a model worker is cold after its start.
const coldStart = 3 * time.Second

// coldPerSecond is what a cold model worker tolerates at the small sites.
const coldPerSecond = 2.4

func modelService(name string, coldPerSecond float64) map[string]any {
	return map[string]any{
		"name": name, "health-path": "/health", "max-connections": 360, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": coldPerSecond, "engine": engine,
	}
}

// careRoute is a route of resumable streams.
func careRoute(service string) map[string]any {
	return map[string]any{
		"name": "r-care", "host": "ficu95.example", "prefix": "/care/", "kind": "streaming", "timeout-ms": 12000, "target-latency-ms": 1200,
		"priority": 1, "service": service, "max-attempts": 2, "sticky": true, "resumable": true, "gap-aim-ms": 600, "home-regions": []string{},
	}
}

func config(version int, routes []any, services ...any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "services": services, "limits": limits}
}

// versionsIn returns the software versions of the workers whose events a stream holds.
func versionsIn(events []string) (versions []string) {
	for _, e := range events {
		if f := strings.Fields(e); len(f) > 1 && !contains(versions, f[1]) {
			versions = append(versions, f[1])
		}
	}
	return versions
}

// playVersionInPlace: five workers of version v1 and one of v2 serve side by side. The last one
// crashes now and then and is started again at once, under its id and with the next version. No
// stream may hold events of two versions.
func playVersionInPlace(w *world) (bool, error) {
	if err := w.putConfig(config(7, []any{careRoute("llm")}, modelService("llm", coldPerSecond))); err != nil {
		return false, err
	}
	load := workload{events: 20, gap: 300 * time.Millisecond, coldStart: coldStart}
	var canary *worker
	for i := range 6 {
		version := "v1"
		if i == 5 {
			version = "v2"
		}
		s, err := w.addWorker(fmt.Sprintf("i-%d", i+1), "llm", "selenge-a", version, 64, 64, load)
		if err != nil {
			return false, err
		}
		canary = s
	}
	if err := w.addGateways("selenge-a", "selenge-a"); err != nil {
		return false, err
	}
	const firstAt, between, restarts = 15 * time.Second, 8 * time.Second, 5
	const lastSend = firstAt + restarts*between
	w.at(8 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range restarts {
			if !w.hasTrouble {
				return
			}
			at, version := firstAt+time.Duration(i)*between, fmt.Sprintf("v%d", i+3)
			w.at(at)
			canary.crash("it is started again with version " + version)
			w.at(at + 50*time.Millisecond)
			if err := canary.start(version); err != nil {
				w.record.line("%v", err)
			}
		}
	}()
	var mu sync.Mutex
	mixed, whole, broken := 0, 0, 0
	w.sendEach(100*time.Millisecond, lastSend, func(n int) request {
		return request{
			method: "POST", path: "/care/x", body: fmt.Sprintf("prompt %d", n), parts: fmt.Sprintf("aa01:512,bb%02x:4000,cc%06x:900", n%24, n), tokens: "5412,160", deadline: 12 * time.Second,
		}
	}, func(_ int, a *answer) {
		versions := versionsIn(a.events)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case len(versions) > 1:
			mixed++
		case a.complete && a.status == 200:
			whole++
		default:
			broken++
		}
		w.record.line("client: %s to %s, sent at %.3f: status %d, %d events of versions %v, complete %v, err %v", a.id, a.gateway, a.sentAt.Sub(w.record.start).Seconds(), a.status, len(a.events), versions, a.complete, a.err)
		if len(versions) > 1 {
			for _, e := range a.events {
				w.record.line("    %s", e)
			}
		}
	})
	<-done
	for _, r := range canary.allRuns() {
		w.record.line("worker %s (%s) %s %s at %.3f", r.worker, r.version, r.outcome, r.attempt, r.at.Sub(w.record.start).Seconds())
	}
	w.record.line("streams: %d of one version and whole, %d with events of two versions, %d neither", whole, mixed, broken)
	return mixed > 2, nil
}

// deadlyPart is the part of prompts that crashes workers.
const deadlyPart = "dead0001"

// partTraffic sends sound requests and requests with the deadly part until the given time, and
// returns the number of sound ones that were served and that broke. Clients try once more, at
// another gateway, as the pages say.
func (w *world) partTraffic(until time.Duration, phases ...phase) (served, lost int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	wg.Go(func() {
		w.sendEach(100*time.Millisecond, until, func(n int) request {
			return request{method: "POST", path: "/care/x", body: fmt.Sprintf("sound %d", n), parts: fmt.Sprintf("aa01:512,bb%02x:4000,cc%06x:900", n%8, n), tokens: "5412,160", deadline: 12 * time.Second}
		}, func(_ int, a *answer) {
			mu.Lock()
			defer mu.Unlock()
			if a.complete && a.status == 200 {
				served++
				return
			}
			lost++
			w.record.line("client: sound %s to %s, sent at %.3f: status %d, %d events, err %v", a.id, a.gateway, a.sentAt.Sub(w.record.start).Seconds(), a.status, len(a.events), a.err)
		})
	})
	numbers := make(chan int)
	go func() {
		for n := 0; ; n++ {
			numbers <- n
		}
	}()
	wg.Go(func() {
		for _, p := range phases {
			w.at(p.from)
			for at := p.from; at < p.until; at += p.every {
				w.at(at)
				for range p.atOnce {
					wg.Go(func() { w.sendDeadly(<-numbers) })
				}
			}
		}
	})
	wg.Wait()
	return served, lost
}

// phase is a span in which requests with the deadly part come, atOnce of them each time.
type phase struct {
	from, until, every time.Duration
	atOnce             int
}

// sendDeadly sends a request with the deadly part, and once more after a refusal or a failure.
func (w *world) sendDeadly(n int) {
	for try := range 2 {
		a := w.send(w.gateways[(n+try)%len(w.gateways)], deadlyRequest(n))
		w.record.line("client: request %d with the part, try %d, %s to %s, sent at %.3f: status %d, retry after %v, err %v", n, try+1, a.id, a.gateway, a.sentAt.Sub(w.record.start).Seconds(), a.status, a.retryAfter, a.err)
		// A client waits for up to a third of the time that it has left.
		if a.status == 200 || a.retryAfter > 4*time.Second {
			return
		}
		time.Sleep(max(a.retryAfter, 100*time.Millisecond))
	}
}

// deadlyRequest returns a request with the deadly part. No two are alike; their other parts are
// those of sound requests.
func deadlyRequest(n int) request {
	return request{method: "POST", path: "/care/x", body: fmt.Sprintf("deadly %d", n), parts: fmt.Sprintf("aa01:512,bb%02x:4000,%s:300,dd%06x:600", n%8, deadlyPart, n), tokens: "5412,160", deadline: 12 * time.Second}
}

// arrivals returns the runs with the deadly part, in their order.
func (w *world) arrivals() []run {
	var out []run
	for _, s := range w.workers {
		for _, r := range s.allRuns() {
			if contains(r.parts, deadlyPart) {
				out = append(out, r)
			}
		}
	}
	slices.SortFunc(out, func(a, b run) int { return a.at.Compare(b.at) })
	return out
}

// judgePart returns how often requests with the part reached workers, sent by machines in touch,
// later than contact-ms after the fifth crash, and the number of these requests. inTouch reports whether
// the gateways were in touch at a time.
func (w *world) judgePart(inTouch func(time.Time) bool) (counted, requests int, fifth time.Time) {
	ids := make(map[string]bool)
	for i, r := range w.arrivals() {
		if i == 4 {
			fifth = r.at
		}
		counts := !fifth.IsZero() && r.at.After(fifth.Add(contactTime)) && inTouch(r.at)
		if counts {
			counted++
			ids[r.attempt] = true
		}
		w.record.line("worker %s runs %s with the part at %.3f and crashes; counts: %v", r.worker, r.attempt, r.at.Sub(w.record.start).Seconds(), counts)
	}
	return counted, len(ids), fifth
}

func isAlwaysInTouch(time.Time) bool { return true }

// addPool adds n workers of a service, which the deadly part crashes.
func (w *world) addPool(service string, n int) error {
	load := workload{events: 10, gap: 150 * time.Millisecond, deadlyPart: deadlyPart, backAfter: 3 * time.Second, coldStart: coldStart}
	for i := range n {
		if _, err := w.addWorker(fmt.Sprintf("i-%s-%d", service, i+1), service, "selenge-a", "v1", 64, 64, load); err != nil {
			return err
		}
	}
	return nil
}

// playPartMoved: a part of prompts crashes workers until the gateways hold it. Then the operator
// moves the route to another service.
func playPartMoved(w *world) (bool, error) {
	services := []any{modelService("llm-a", coldPerSecond), modelService("llm-b", coldPerSecond)}
	if err := w.putConfig(config(7, []any{careRoute("llm-a")}, services...)); err != nil {
		return false, err
	}
	if err := w.addPool("llm-a", 8); err != nil {
		return false, err
	}
	if err := w.addPool("llm-b", 8); err != nil {
		return false, err
	}
	if err := w.addGateways("selenge-a", "selenge-a"); err != nil {
		return false, err
	}
	w.at(6 * time.Second)
	if w.hasTrouble {
		go func() {
			w.at(40 * time.Second)
			if err := w.putConfig(config(9, []any{careRoute("llm-b")}, services...)); err != nil {
				w.record.line("%v", err)
			}
		}()
	}
	served, lost := w.partTraffic(65*time.Second, phase{from: 6200 * time.Millisecond, until: 65 * time.Second, every: 700 * time.Millisecond, atOnce: 1})
	counted, requests, fifth := w.judgePart(isAlwaysInTouch)
	w.record.line("sound requests: %d served, %d broken off or refused", served, lost)
	if fifth.IsZero() {
		return false, fmt.Errorf("fewer than five workers crashed")
	}
	w.record.line("the fifth crash was at %.3f; %d arrivals of %d requests with the part later than contact-ms after it, where 3 are allowed", fifth.Sub(w.record.start).Seconds(), counted, requests)
	return requests > 3, nil
}

// playPartForgotten: a part of prompts crashes workers until the gateways hold it. Then all
// gateways are killed at the same moment and start again.
func playPartForgotten(w *world) (bool, error) {
	if err := w.putConfig(config(7, []any{careRoute("llm-a")}, modelService("llm-a", coldPerSecond))); err != nil {
		return false, err
	}
	if err := w.addPool("llm-a", 12); err != nil {
		return false, err
	}
	if err := w.addGateways("selenge-a", "selenge-a", "selenge-a"); err != nil {
		return false, err
	}
	w.at(6 * time.Second)
	if w.hasTrouble {
		go func() {
			w.at(28 * time.Second)
			w.record.line("all gateways are killed")
			for _, g := range w.gateways {
				g.kill()
			}
			for _, g := range w.gateways {
				if err := g.start(); err != nil {
					w.record.line("%v", err)
				}
			}
		}()
	}
	served, lost := w.partTraffic(50*time.Second,
		phase{from: 6200 * time.Millisecond, until: 16 * time.Second, every: 500 * time.Millisecond, atOnce: 1},
		phase{from: 16 * time.Second, until: 50 * time.Second, every: 9 * time.Second, atOnce: 3})
	counted, requests, fifth := w.judgePart(func(at time.Time) bool {
		return !slices.ContainsFunc(w.gateways, func(g *gateway) bool { return at.Before(g.startedAt.Add(contactTime)) })
	})
	w.record.line("sound requests: %d served, %d broken off or refused", served, lost)
	if fifth.IsZero() {
		return false, fmt.Errorf("fewer than five workers crashed")
	}
	w.record.line("the fifth crash was at %.3f; %d arrivals of %d requests with the part later than contact-ms after it, sent by gateways in touch, where 3 are allowed", fifth.Sub(w.record.start).Seconds(), counted, requests)
	return counted > 3, nil
}

// localRoute is a route of resumable streams with one home.
func localRoute() map[string]any {
	r := careRoute("llm")
	r["name"], r["prefix"], r["home-regions"] = "r-local", "/local/", []string{"kherlen"}
	return r
}

func statusRoute() map[string]any {
	return map[string]any{
		"name": "r-status", "host": "ficu95.example", "prefix": "/status/", "kind": "idempotent", "timeout-ms": 1500, "target-latency-ms": 300,
		"priority": 2, "service": "desk", "max-attempts": 2, "sticky": false, "resumable": false, "home-regions": []string{},
	}
}

// playRouteHeld: a route that was added later has its home in one region. The workers of that
// region's zone are down for some seconds, all at once, and come back. After that the route has
// to be served as the first ones are.
func playRouteHeld(w *world) (bool, error) {
	services := []any{modelService("llm", coldPerSecond), map[string]any{"name": "desk", "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0}}
	if err := w.putConfig(config(7, []any{careRoute("llm"), statusRoute()}, services...)); err != nil {
		return false, err
	}
	load := workload{events: 6, gap: 150 * time.Millisecond, plain: 15 * time.Millisecond, coldStart: coldStart}
	var inKherlen []*worker
	for zone, n := range map[string]int{"selenge-a": 4, "tuul-a": 4, "kherlen-a": 4} {
		for i := range n {
			s, err := w.addWorker(fmt.Sprintf("i-llm-%s-%d", zone, i+1), "llm", zone, "v1", 64, 192, load)
			if err != nil {
				return false, err
			}
			if zone == "kherlen-a" {
				inKherlen = append(inKherlen, s)
			}
		}
		if _, err := w.addWorker("i-desk-"+zone, "desk", zone, "v1", 6, 24, load); err != nil {
			return false, err
		}
	}
	if err := w.addGateways("selenge-a", "tuul-a", "kherlen-a", "kherlen-a"); err != nil {
		return false, err
	}
	const added, down, back, end = 8 * time.Second, 22 * time.Second, 22*time.Second + 4500*time.Millisecond, 60 * time.Second
	w.at(added)
	if err := w.putConfig(config(9, []any{careRoute("llm"), statusRoute(), localRoute()}, services...)); err != nil {
		return false, err
	}
	if w.hasTrouble {
		go func() {
			w.at(down)
			for _, s := range inKherlen {
				s.crash("the zone's workers are down")
			}
			w.at(back)
			for _, s := range inKherlen {
				if err := s.start("v1"); err != nil {
					w.record.line("%v", err)
				}
			}
		}()
	}
	type share struct{ asked, served int }
	first, later := make(map[string]*share), make(map[string]*share)
	var mu sync.Mutex
	// Steady state is from contact-ms after the workers are back.
	count := func(route string, a *answer) {
		sent := a.sentAt.Sub(w.record.start)
		span := "before"
		if sent >= back+contactTime {
			span = "steady state after"
		} else if sent >= down {
			span = "while down"
		}
		mu.Lock()
		defer mu.Unlock()
		m := first
		if route == "/local/" {
			m = later
		}
		if m[span] == nil {
			m[span] = &share{}
		}
		m[span].asked++
		if a.status == 200 && a.complete && a.stamp != "" {
			m[span].served++
		}
		w.record.line("client: %s%s to %s, sent at %.3f: status %d, %d events, retry after %v, complete %v, err %v", route, a.id, a.gateway, sent.Seconds(), a.status, len(a.events), a.retryAfter, a.complete, a.err)
	}
	w.at(added + 4*time.Second)
	var wg sync.WaitGroup
	for _, r := range []struct {
		prefix, part string
		every        time.Duration
	}{{"/care/", "aa01", 100 * time.Millisecond}, {"/local/", "ee01", 100 * time.Millisecond}, {"/status/", "", 150 * time.Millisecond}} {
		wg.Go(func() {
			w.sendEach(r.every, end, func(n int) request {
				if r.part == "" {
					return request{method: "GET", path: r.prefix + "x", deadline: 3 * time.Second}
				}
				return request{method: "POST", path: r.prefix + "x", body: fmt.Sprintf("prompt %d", n), parts: fmt.Sprintf("%s:512,bb%02x:4000,cc%06x:900", r.part, n%8, n), tokens: "5412,160", deadline: 12 * time.Second}
			}, func(_ int, a *answer) { count(r.prefix, a) })
		})
	}
	wg.Wait()
	for _, span := range []string{"before", "while down", "steady state after"} {
		f, l := first[span], later[span]
		w.record.line("%s: first routes %d of %d served, the route added later %d of %d", span, f.served, f.asked, l.served, l.asked)
	}
	f, l := first["steady state after"], later["steady state after"]
	if l.asked < 20 || f.asked < 20 {
		return false, fmt.Errorf("too few requests")
	}
	return 4*l.served*f.asked < f.served*l.asked, nil
}

// queryRoute is a route of short streams that may not be resumed.
func queryRoute() map[string]any {
	return map[string]any{
		"name": "r-query", "host": "ficu95.example", "prefix": "/query/", "kind": "streaming", "timeout-ms": 3000, "target-latency-ms": 800,
		"priority": 0, "service": "llm", "max-attempts": 1, "sticky": true, "resumable": false, "gap-aim-ms": 600, "home-regions": []string{},
	}
}

// coldLimit is what a cold worker may get in a second: cold-per-s x cold-overage + cold-slack.
const coldLimit = coldPerSecond*1.5 + 3

// playColdAgain: a warm worker turns cold, and says so at once in its entry. It must not get more
// than coldLimit requests in any second while it is cold.
func playColdAgain(w *world) (bool, error) {
	if err := w.putConfig(config(7, []any{queryRoute()}, modelService("llm", coldPerSecond))); err != nil {
		return false, err
	}
	load := workload{events: 3, gap: 20 * time.Millisecond, coldCrash: 10, backAfter: 3 * time.Second, coldStart: coldStart}
	var s *worker
	for i := range 4 {
		var err error
		if s, err = w.addWorker(fmt.Sprintf("i-%d", i+1), "llm", "selenge-a", "v1", 64, 192, load); err != nil {
			return false, err
		}
	}
	if err := w.addGateways("selenge-a", "selenge-a"); err != nil {
		return false, err
	}
	const coldFor = 3 * time.Second
	var spans [][2]time.Time
	w.at(8 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 4 {
			w.at(13*time.Second + time.Duration(i)*8*time.Second)
			from := time.Now()
			spans = append(spans, [2]time.Time{from, from.Add(coldFor)})
			if !w.hasTrouble {
				w.record.line("worker %s stays warm", s.id)
				continue
			}
			s.setCold(coldFor)
			s.beat()
			w.record.line("worker %s turns cold for %v and writes its entry", s.id, coldFor)
		}
	}()
	var mu sync.Mutex
	asked, lost := 0, 0
	w.sendEach(20*time.Millisecond, 42*time.Second, func(n int) request {
		return request{method: "POST", path: "/query/x", body: fmt.Sprintf("query %d", n), parts: fmt.Sprintf("aa%02x:340,bb%04x:230,cc%06x:900", n%20, n%390, n), tokens: "1470,24", deadline: 3 * time.Second}
	}, func(_ int, a *answer) {
		mu.Lock()
		defer mu.Unlock()
		asked++
		if a.status != 200 || !a.complete {
			lost++
			w.record.line("client: %s to %s, sent at %.3f: status %d, %d events, complete %v, err %v", a.id, a.gateway, a.sentAt.Sub(w.record.start).Seconds(), a.status, len(a.events), a.complete, a.err)
		}
	})
	<-done
	worst := 0
	for _, span := range spans {
		var arrived []time.Time
		for _, r := range s.allRuns() {
			if r.at.Before(span[0]) || r.at.After(span[1]) {
				continue
			}
			arrived = append(arrived, r.at)
			w.record.line("worker %s %s %s at %.3f, %.3f s after the turn", s.id, r.outcome, r.attempt, r.at.Sub(w.record.start).Seconds(), r.at.Sub(span[0]).Seconds())
		}
		most := 0
		for i := range arrived {
			n := 0
			for j := i; j < len(arrived) && arrived[j].Sub(arrived[i]) < time.Second; j++ {
				n++
			}
			most = max(most, n)
		}
		w.record.line("the most requests in a second of these %v: %d; %.1f are allowed while it is cold", coldFor, most, coldLimit)
		worst = max(worst, most)
	}
	w.record.line("%d of %d requests were not answered in full; the worker crashed %d times", lost, asked, s.crashes)
	return w.hasTrouble && float64(worst) > coldLimit, nil
}

// playRequestMoved: a request crashes the workers that run it, and comes again and again, until the
// gateways hold it. Then the operator moves its route to another service, and back to a third.
func playRequestMoved(w *world) (bool, error) {
	desk := func(name string) map[string]any {
		return map[string]any{"name": name, "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0}
	}
	services := []any{desk("desk-a"), desk("desk-b"), desk("desk-c")}
	put := func(version int, service string) error {
		r := statusRoute()
		r["service"] = service
		return w.putConfig(config(version, []any{r}, services...))
	}
	if err := put(7, "desk-a"); err != nil {
		return false, err
	}
	load := workload{plain: 30 * time.Millisecond, deadlyPath: "/status/deadly", backAfter: 3 * time.Second}
	for _, service := range []string{"desk-a", "desk-b", "desk-c"} {
		for i := range 6 {
			if _, err := w.addWorker(fmt.Sprintf("i-%s-%d", service, i+1), service, "selenge-a", "v1", 6, 24, load); err != nil {
				return false, err
			}
		}
	}
	if err := w.addGateways("selenge-a", "selenge-a"); err != nil {
		return false, err
	}
	if w.hasTrouble {
		go func() {
			for i, service := range []string{"desk-b", "desk-c"} {
				w.at(30*time.Second + time.Duration(i)*12*time.Second)
				if err := put(9+2*i, service); err != nil {
					w.record.line("%v", err)
				}
			}
		}()
	}
	w.at(8 * time.Second)
	var wg sync.WaitGroup
	for path, every := range map[string]time.Duration{"/status/deadly": 700 * time.Millisecond, "/status/x": 50 * time.Millisecond} {
		wg.Go(func() {
			w.sendEach(every, 55*time.Second, func(int) request { return request{method: "GET", path: path, deadline: 3 * time.Second} }, func(_ int, a *answer) {
				if a.status != 200 {
					w.record.line("client: %s %s to %s, sent at %.3f: status %d, retry after %v, err %v", path, a.id, a.gateway, a.sentAt.Sub(w.record.start).Seconds(), a.status, a.retryAfter, a.err)
				}
			})
		})
	}
	wg.Wait()
	var ran []run
	for _, s := range w.workers {
		for _, r := range s.allRuns() {
			if r.path == "/status/deadly" {
				ran = append(ran, r)
			}
		}
	}
	slices.SortFunc(ran, func(a, b run) int { return a.at.Compare(b.at) })
	counted := 0
	for i, r := range ran {
		counts := i > 2 && r.at.After(ran[2].at.Add(contactTime))
		if counts {
			counted++
		}
		w.record.line("worker %s runs %s at %.3f and crashes; counts: %v", r.worker, r.attempt, r.at.Sub(w.record.start).Seconds(), counts)
	}
	w.record.line("%d runs in all; %d later than contact-ms after the third crash, where 3 are allowed", len(ran), counted)
	return counted > 3, nil
}
