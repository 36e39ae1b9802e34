// Command case1 checks that a booking which a gateway forwards to another region runs at
// most once while workers fail part of their requests.
package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/review/_standin/lab"
)

const (
	// failureShare and troubleTime are x and for_s of srv_grey in the site file. The trouble
	// comes again after troubleGap.
	failureShare = 0.45
	troubleTime  = 4 * time.Second
	troubleGap   = 2 * time.Second
	// Clients send in clumps of three, as in the site file, clumpGap apart on average for
	// each of the clumps.
	clumps      = 20
	clumpSize   = 3
	clumpGap    = 150 * time.Millisecond
	playFor     = 60 * time.Second
	workTime    = 15 * time.Millisecond
	workerSlots = 6
)

type run struct {
	worker string
	at     time.Time
	status int
}

// ledger holds, by attempt id, the runs and the status that the client got.
type ledger struct {
	mu       sync.Mutex
	runs     map[string][]run
	statuses map[string]int
}

func (l *ledger) answered(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[id] = status
}

func (l *ledger) add(id string, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

func main() { os.Exit(play(os.Args[1])) }

func play(recordPath string) int {
	l, err := lab.New(recordPath, map[string]string{"selenge-a": "selenge", "tuul-a": "tuul"})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return lab.NotRun
	}
	defer l.Close()
	runs := &ledger{runs: make(map[string][]run), statuses: make(map[string]int)}
	if err := deploy(l, runs); err != nil {
		l.Logf("cannot start: %v", err)
		return lab.NotRun
	}
	a, err := l.StartGateway("edge-selenge-a-1", "127.0.41.1", "selenge-a", "127.0.41.1", "127.0.42.1")
	if err != nil {
		return lab.NotRun
	}
	c, err := l.StartGateway("edge-tuul-a-1", "127.0.42.1", "tuul-a", "127.0.41.1", "127.0.42.1")
	if err != nil {
		return lab.NotRun
	}
	for _, g := range []*lab.Gateway{a, c} {
		if err := g.WaitReady(20 * time.Second); err != nil {
			l.Logf("cannot start: %v", err)
			return lab.NotRun
		}
	}
	time.Sleep(3 * time.Second)
	send(l, a.Front, runs)
	return judge(l, runs)
}

func deploy(l *lab.Lab, runs *ledger) error {
	err := l.PutConfig(lab.Config{
		Version: 4,
		Routes: []map[string]any{{
			"name": "truck-dispatch", "host": "depots.example", "prefix": "/dispatch/", "kind": "non_idempotent", "timeout-ms": 3000,
			"target-latency-ms": 500, "priority": 2, "service": "dispatch-desk", "max-attempts": 1, "sticky": false, "resumable": false, "home-regions": []string{},
		}},
		Services: []map[string]any{{"name": "dispatch-desk", "health-path": "/health", "max-connections": 110, "cold-start-s": 0, "cold-per-s": 0}},
	})
	if err != nil {
		return err
	}
	for _, id := range []string{"i-dispatch1", "i-dispatch2", "i-dispatch3"} {
		if _, err = l.StartWorker(id, "dispatch-desk", "tuul-a", workerSlots, func(w *lab.Worker) http.Handler { return dispatchDesk(l, w, runs) }); err != nil {
			return err
		}
	}
	return nil
}

// dispatchDesk runs requests. In trouble it ends a share of them with its own 500, which
// counts as run.
func dispatchDesk(l *lab.Lab, w *lab.Worker, runs *ledger) http.Handler {
	slots := make(chan struct{}, workerSlots)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || !w.Expects(rw, r) {
			return
		}
		if r.URL.Path == "/health" {
			rw.Header().Set("Hickorystage-Instance-Id", w.ID)
			return
		}
		slots <- struct{}{}
		defer func() { <-slots }()
		id, status := r.Header.Get("Hickorystage-Attempt-Id"), http.StatusOK
		if lab.Trouble() && inTrouble() && rand.Float64() < failureShare {
			status = http.StatusInternalServerError
		}
		runs.add(id, run{worker: w.ID, at: time.Now(), status: status})
		l.Logf("worker %s runs %s (%d bytes), will answer %d", w.ID, id, len(body), status)
		time.Sleep(workTime)
		rw.Header().Set("Hickorystage-Response-Stamp", lab.Stamp())
		if status != http.StatusOK {
			rw.WriteHeader(status)
			return
		}
		_, _ = rw.Write(bytes.Repeat([]byte("x"), 800))
	})
}

var began = time.Now()

// inTrouble reports whether the worker fails requests now.
func inTrouble() bool { return time.Since(began)%(troubleTime+troubleGap) < troubleTime }

// send lets clients send bookings, each with an id of its own that is never sent again.
func send(l *lab.Lab, address string, runs *ledger) {
	var wg sync.WaitGroup
	end := time.Now().Add(playFor)
	for range clumps {
		wg.Go(func() { sendClumps(l, address, end, runs) })
	}
	wg.Wait()
}

func sendClumps(l *lab.Lab, address string, end time.Time, runs *ledger) {
	var list []*http.Client
	for range clumpSize {
		list = append(list, &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}})
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(clumpGap)))
		var wg sync.WaitGroup
		for _, client := range list {
			wg.Go(func() {
				id := lab.NewID()
				l.Logf("client sends %s", id)
				status, err := book(client, address, id)
				l.Logf("client got %d for %s err=%v", status, id, err)
				runs.answered(id, status)
			})
		}
		wg.Wait()
	}
}

func book(client *http.Client, address, id string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/dispatch/1", bytes.NewReader(bytes.Repeat([]byte("b"), 600)))
	if err != nil {
		return 0, err
	}
	req.GetBody = nil
	req.Host = "depots.example"
	req.Header.Set("Hickorystage-Attempt-Id", id)
	req.Header.Set("Hickorystage-Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func judge(l *lab.Lab, runs *ledger) int {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	total, twice, refused := 0, 0, 0
	for id, list := range runs.runs {
		total++
		if runs.statuses[id] == http.StatusServiceUnavailable {
			refused++
			l.Logf("REFUSED: %s ran and was answered 503", id)
		}
		if len(list) > 1 {
			twice++
			l.Logf("TWICE: %s ran %d times: %s answered %d, %.1f ms later %s answered %d", id, len(list), list[0].worker, list[0].status,
				float64(list[1].at.Sub(list[0].at).Microseconds())/1000, list[1].worker, list[1].status)
		}
	}
	result := fmt.Sprintf("%d bookings ran, %d of them more than once; %d that ran were answered 503", total, twice, refused)
	l.Logf("result: %s", result)
	fmt.Println(result)
	if total == 0 {
		return lab.NotRun
	}
	if twice > 0 || refused > 0 {
		return lab.Broken
	}
	return lab.Held
}
