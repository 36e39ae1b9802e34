package soak

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/hickorystage/hickorystage/platform/platformtest"
)

// strike lets one random fault strike, and returns when it is over.
func (w *world) strike() {
	faults := []func(){
		w.killGateway, w.stopGateway, w.pauseGateway, w.reloadGateway,
		w.cutStore, w.breakStore, w.breakStore, w.cutCallers,
		w.crashEndpoint, w.crashEndpoint, w.drainEndpoint, w.drainEndpoint, w.cutEndpoint, w.cutEndpoint, w.failEndpoint,
		w.configure, w.configure,
	}
	faults[w.roll(len(faults))]()
}

// takeGateway returns a gateway that no other fault strikes, nil if there is
// none.
func (w *world) takeGateway() *gateway {
	g := w.gateways[w.roll(len(w.gateways))]
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busy {
		return nil
	}
	g.busy = true
	return g
}

func (g *gateway) free() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy = false
}

func (w *world) killGateway() {
	g := w.takeGateway()
	if g == nil {
		return
	}
	defer g.free()
	defer w.journal.begin("killed", g.name, false)()
	g.signal(syscall.SIGKILL)
	g.await(grace)
	time.Sleep(w.between(100*time.Millisecond, 1500*time.Millisecond))
	g.start()
}

// stopGateway stops and starts a gateway as operators do.
func (w *world) stopGateway() {
	g := w.takeGateway()
	if g == nil {
		return
	}
	defer g.free()
	defer w.journal.begin("stopped", g.name, true)()
	began := time.Now()
	g.signal(syscall.SIGTERM)
	if w.roll(4) == 0 {
		g.signal(syscall.SIGHUP)
	}
	if !g.await(grace) {
		w.report("%s did not stop within %s", g.name, grace)
		g.signal(syscall.SIGKILL)
		g.await(grace)
	} else if code := g.exitCode(); code != 0 {
		w.report("%s ended with code %d, %s after SIGTERM", g.name, code, time.Since(began))
	}
	g.start()
}

func (w *world) pauseGateway() {
	g := w.takeGateway()
	if g == nil {
		return
	}
	defer g.free()
	defer w.journal.begin("paused", g.name, false)()
	g.signal(syscall.SIGSTOP)
	time.Sleep(w.between(200*time.Millisecond, 5*time.Second))
	g.signal(syscall.SIGCONT)
}

func (w *world) reloadGateway() {
	g := w.takeGateway()
	if g == nil {
		return
	}
	defer g.free()
	defer w.journal.begin("reloaded", g.name, true)()
	for range 1 + w.roll(3) {
		w.settle(g, 40+w.roll(20))
		g.signal(syscall.SIGHUP)
		time.Sleep(w.between(10*time.Millisecond, 300*time.Millisecond))
	}
}

// linkFault draws what a proxy does to its connections.
func (w *world) linkFault() fault { return fault(1 + w.roll(int(refusing))) }

// hold lets a proxy do something for a while.
func (w *world) hold(p *proxy, f fault, what, gateway string) {
	defer w.journal.begin(faultNames[f]+" "+what, gateway, false)()
	p.set(f)
	time.Sleep(w.between(300*time.Millisecond, 4*time.Second))
	p.set(passing)
}

func (w *world) cutStore() {
	g := w.gateways[w.roll(len(w.gateways))]
	w.hold(g.store, w.linkFault(), "store", g.name)
}

func (w *world) cutCallers() {
	g := w.gateways[w.roll(len(w.gateways))]
	w.hold(g.front, w.linkFault(), "callers", g.name)
}

// breakStore makes the store itself misbehave for all.
func (w *world) breakStore() {
	kinds := []platformtest.Faults{
		{Status: http.StatusServiceUnavailable},
		{Status: http.StatusTooManyRequests},
		{Unresponsive: true},
		{Delay: 400 * time.Millisecond},
		{DropWriteResponses: true},
	}
	f := kinds[w.roll(len(kinds))]
	defer w.journal.begin(fmt.Sprintf("store %+v", f), "", false)()
	w.store.SetFaults(f)
	time.Sleep(w.between(300*time.Millisecond, 5*time.Second))
	w.store.SetFaults(platformtest.Faults{})
	if w.roll(3) == 0 {
		w.store.Compact()
	}
}

// takeEndpoint returns an endpoint that no other fault strikes, nil if there is
// none. remove takes it out of those that are struck.
func (w *world) takeEndpoint(remove bool) *worker {
	n := w.roll(1 << 20)
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.endpoints[n%len(w.endpoints)]
	if e.busy {
		return nil
	}
	e.busy = true
	if remove {
		i := n % len(w.endpoints)
		w.endpoints = append(w.endpoints[:i:i], w.endpoints[i+1:]...)
	}
	return e
}

func (w *world) freeEndpoint(e *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.busy = false
}

// crashEndpoint ends an endpoint; its entry lapses, and another one starts.
func (w *world) crashEndpoint() {
	e := w.takeEndpoint(true)
	if e == nil {
		return
	}
	w.addEndpoint(e.zone, e.service)
	defer w.journal.begin("crashed "+e.ID(), "", false)()
	e.close()
	time.Sleep(3 * beat)
	e.Deregister()
}

// drainEndpoint takes an endpoint away as planned: it says so, serves on for
// the time that it has to, and ends.
func (w *world) drainEndpoint() {
	e := w.takeEndpoint(true)
	if e == nil {
		return
	}
	w.addEndpoint(e.zone, e.service)
	if w.roll(3) == 0 {
		// Some leave without a word: their entry goes, and they serve on.
		e.hush()
		time.Sleep(2 * beat)
		e.Deregister()
	} else {
		e.SetEntryField("state", "draining")
		if err := e.WriteHeartbeat(); err != nil {
			w.report("entry of %s not written: %v", e.ID(), err)
		}
	}
	w.journal.mu.Lock()
	e.leaving = time.Now()
	w.journal.mu.Unlock()
	time.Sleep(drainTime + w.between(time.Second, 3*time.Second))
	e.Deregister()
	e.end()
}

func (w *world) cutEndpoint() {
	e := w.takeEndpoint(false)
	if e == nil {
		return
	}
	defer w.freeEndpoint(e)
	w.hold(e.proxy, w.linkFault(), e.ID(), "")
}

// failEndpoint makes an endpoint fail or turn away part of its requests.
func (w *world) failEndpoint() {
	e := w.takeEndpoint(false)
	if e == nil {
		return
	}
	defer w.freeEndpoint(e)
	defer w.journal.begin("failing "+e.ID(), "", false)()
	e.SetBehaviour(w.between(workTime, 10*workTime), 0.5, 0.3)
	time.Sleep(w.between(time.Second, 4*time.Second))
	e.SetBehaviour(workTime, 0, 0)
}

// report notes a broken promise.
func (w *world) report(format string, args ...any) {
	w.journal.mu.Lock()
	defer w.journal.mu.Unlock()
	w.journal.found(format, args...)
}
