// Command case3 checks that a gateway stays within its memory limit while more callers than
// usual send long requests, each within the operators' limits.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hickorystage/hickorystage/review/_standin/lab"
)

const (
	// memoryLimit is memory-mb of the settings, at which the platform kills a process.
	memoryLimit = 284 << 20
	// burstFactor and burstTime are x and for_s of the burst of one kind of request in the
	// site file.
	burstFactor = 2.5
	burstTime   = 10 * time.Second
	calmTime    = 12 * time.Second
	bursts      = 3
	// bodyBytes is below max-body-bytes, 4,194,304.
	bodyBytes    = 4_000_000
	usualCallers = 22
	// events and eventGap make a stream of the length that the sheet gives.
	events   = 48
	eventGap = 60 * time.Millisecond
	// endsAllowed is the number of ends of a process from which on the rule is broken.
	endsAllowed = 3
)

func main() { os.Exit(play(os.Args[1])) }

func play(recordPath string) int {
	l, err := lab.New(recordPath, map[string]string{"selenge-a": "selenge"})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return lab.NotRun
	}
	defer l.Close()
	gateways, err := deploy(l)
	if err != nil {
		l.Logf("cannot start: %v", err)
		return lab.NotRun
	}
	var callers atomic.Int64
	callers.Store(usualCallers)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	machines := make([]*machine, 0, len(gateways))
	for i, g := range gateways {
		m := &machine{gateway: g, lab: l}
		machines = append(machines, m)
		wg.Go(func() { m.watch(stop) })
		for n := range int64(usualCallers * burstFactor) {
			wg.Go(func() { m.call(i, n, &callers, stop) })
		}
	}
	for range bursts {
		time.Sleep(calmTime)
		if lab.Trouble() {
			l.Logf("burst of %v begins", burstFactor)
			callers.Store(int64(usualCallers * burstFactor))
		}
		time.Sleep(burstTime)
		callers.Store(usualCallers)
		l.Logf("burst ended")
	}
	time.Sleep(calmTime / 2)
	close(stop)
	wg.Wait()
	return judge(l, machines)
}

func deploy(l *lab.Lab) ([]*lab.Gateway, error) {
	err := l.PutConfig(lab.Config{
		Version: 4,
		Routes: []map[string]any{{
			"name": "season-plan", "host": "depots.example", "prefix": "/plan/", "kind": "streaming", "timeout-ms": 12000,
			"target-latency-ms": 1200, "priority": 1, "service": "depot-planner", "max-attempts": 2, "sticky": true, "resumable": true, "gap-aim-ms": 600, "home-regions": []string{},
		}},
		Services: []map[string]any{{
			"name": "depot-planner", "health-path": "/health", "max-connections": 370, "cold-start-s": 0, "cold-per-s": 0,
			"engine": map[string]any{"slots": 64, "kv-capacity-tokens": 443746, "stride": 8},
		}},
	})
	if err != nil {
		return nil, err
	}
	for _, id := range []string{"i-planner1", "i-planner2", "i-planner3", "i-planner4"} {
		if _, err := l.StartWorker(id, "depot-planner", "selenge-a", 64, func(w *lab.Worker) http.Handler { return planner(l, w) }); err != nil {
			return nil, err
		}
	}
	var out []*lab.Gateway
	for i, ip := range []string{"127.0.43.1", "127.0.43.2"} {
		g, err := l.StartGateway(fmt.Sprintf("edge-selenge-a-%d", i+1), ip, "selenge-a", "127.0.43.1", "127.0.43.2")
		if err != nil {
			return nil, err
		}
		out = append(out, g)
	}
	for _, g := range out {
		if err := g.WaitReady(20 * time.Second); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func planner(l *lab.Lab, w *lab.Worker) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil || !w.Expects(rw, r) {
			return
		}
		id := r.Header.Get("Hickorystage-Attempt-Id")
		l.Logf("worker %s runs %s (%d bytes)", w.ID, id, n)
		rw.Header().Set("Hickorystage-Response-Stamp", lab.Stamp())
		rw.Header().Set("Content-Type", "text/event-stream")
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for e := last + 1; e <= events; e++ {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(eventGap):
			}
			if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", e, strings.Repeat("t", 50)); err != nil {
				return
			}
			_ = http.NewResponseController(rw).Flush()
		}
	})
}

// machine is the platform's side of one machine: it kills the gateway above its memory
// limit and starts it again.
type machine struct {
	gateway *lab.Gateway
	lab     *lab.Lab
	ends    int
	peak    int64
}

func (m *machine) watch(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := m.gateway.ResidentBytes()
		m.peak = max(m.peak, used)
		if used <= memoryLimit {
			continue
		}
		m.lab.Logf("gateway %s uses %d MB, more than %d", m.gateway.Name, used>>20, memoryLimit>>20)
		m.ends++
		m.gateway.Signal(syscall.SIGKILL)
		<-m.gateway.Exited()
		time.Sleep(300 * time.Millisecond)
		if err := m.gateway.Start(); err != nil {
			m.lab.Logf("cannot start again: %v", err)
			return
		}
		_ = m.gateway.WaitReady(10 * time.Second)
	}
}

// call lets caller n send one request after another as long as so many callers are there.
func (m *machine) call(machineIndex int, n int64, callers *atomic.Int64, stop chan struct{}) {
	client := &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	body := bytes.Repeat([]byte("p"), bodyBytes)
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if n >= callers.Load() {
			continue
		}
		id := lab.NewID()
		m.lab.Logf("client %d/%d sends %s (%d bytes)", machineIndex, n, id, len(body))
		status, err := ask(client, m.gateway.Front, id, body)
		m.lab.Logf("client %d/%d got %d for %s err=%v", machineIndex, n, status, id, err)
	}
}

func ask(client *http.Client, address, id string, body []byte) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/plan/1", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.GetBody = nil
	req.Host = "depots.example"
	req.Header.Set("Hickorystage-Attempt-Id", id)
	req.Header.Set("Hickorystage-Deadline-Ms", "12000")
	req.Header.Set("Hickorystage-Model", "m")
	req.Header.Set("Hickorystage-Token-Count", "6610,400")
	req.Header.Set("Hickorystage-Prompt-Prefix", "5c1e07a2:512,91bd3f06:4870,"+id[:8]+":1228")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func judge(l *lab.Lab, machines []*machine) int {
	broken := 0
	for _, m := range machines {
		result := fmt.Sprintf("%s: peak of %d MB, killed %d times", m.gateway.Name, m.peak>>20, m.ends)
		l.Logf("result: %s", result)
		fmt.Println(result)
		if m.ends >= endsAllowed {
			broken++
		}
	}
	if broken >= 2 {
		return lab.Broken
	}
	return lab.Held
}
