// Command case2 checks that an action runs once for a caller's own key although the store
// is restored from an older copy between the call and its repeat. It plays the product's own
// interface.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hickorystage/hickorystage/internal/standin/kv"
	"github.com/hickorystage/hickorystage/review/_standin/lab"
)

const (
	bookings = 10
	// outage is for_s of the drill.
	outage = 2 * time.Second
	// apiKey and configFolder belong together.
	apiKey       = "demo-key-svealand"
	configFolder = "examples/luftvard"
)

func main() { os.Exit(play(os.Args[1])) }

// deployment is the platform, one service and two gateways in one region.
type deployment struct {
	record    *os.File
	began     time.Time
	dir       string
	store     *kv.Server
	isAway    atomic.Bool
	processes []*exec.Cmd
	// addresses of the processes.
	storeURL, directoryURL, serviceAdmin string
	gateways                             []string
}

func (d *deployment) logf(format string, args ...any) {
	fmt.Fprintf(d.record, "%8.3f %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

func play(recordPath string) int {
	record, err := os.Create(recordPath)
	if err != nil {
		return lab.NotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return lab.NotRun
	}
	defer os.RemoveAll(dir)
	d := &deployment{record: record, began: time.Now(), dir: dir, store: kv.New(kv.Limits{Reads: 2000, Writes: 400})}
	defer d.end()
	if err := d.start(); err != nil {
		d.logf("cannot start: %v", err)
		return lab.NotRun
	}
	return d.bookAndRepeat()
}

// bookAndRepeat makes the bookings at the first gateway, restores the store from a copy made
// just before, and repeats each booking at the second gateway, as a caller does that is not
// sure of the outcome.
func (d *deployment) bookAndRepeat() int {
	copied := d.store.Store.Dump()
	copiedAt := time.Now()
	var keys []string
	for n := range bookings {
		key := fmt.Sprintf("order-%d-%s", n, lab.NewID())
		keys = append(keys, key)
		if status := d.book(0, key); status != http.StatusOK {
			d.logf("the first call failed")
			return lab.NotRun
		}
	}
	if lab.Trouble() {
		d.logf("the store is away")
		d.isAway.Store(true)
		time.Sleep(outage)
		d.store.Store.Restore(copied)
		d.isAway.Store(false)
		d.logf("the store is back, from a copy %v old", time.Since(copiedAt).Round(10*time.Millisecond))
	}
	time.Sleep(3 * time.Second)
	for _, key := range keys {
		d.book(1, key)
	}
	return d.judge(keys)
}

func (d *deployment) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.storeURL = "http://" + listener.Addr().String()
	handler := d.store.Handler()
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if d.isAway.Load() {
				panic(http.ErrAbortHandler)
			}
			handler.ServeHTTP(w, r)
		}))
	}()
	directory, directoryAdmin, service := freeAddress(), freeAddress(), freeAddress()
	d.serviceAdmin, d.directoryURL = freeAddress(), "http://"+directory
	if err := d.run(nil, "target/review/standin", "directory", "--listen", directory, "--admin", directoryAdmin, "--lag", "500ms"); err != nil {
		return err
	}
	if err := d.run(nil, "target/review/standin", "service", "--id", "booking-svealand", "--region", "svealand", "--group", "booking",
		"--listen", service, "--admin", d.serviceAdmin, "--register", d.directoryURL); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	env := []string{
		"HICKORYSTAGE_STORE_URL=" + d.storeURL, "HICKORYSTAGE_DIRECTORY_URL=" + d.directoryURL,
		"HICKORYSTAGE_PEER_SECRETS=review-secret-of-the-gateways", "HICKORYSTAGE_ADMIN_TOKEN=review-token-of-the-operators",
	}
	if err := d.apply(env); err != nil {
		return err
	}
	for n := range 2 {
		id, listen, peer := fmt.Sprintf("gw-svealand-%d", n+1), freeAddress(), freeAddress()
		if err := d.run(nil, "target/review/standin", "register", "--register", d.directoryURL, "--id", id, "--region", "svealand", "--address", peer); err != nil {
			return err
		}
		if err := d.run(env, "target/hickorystage", "gateway", "--id", id, "--region", "svealand", "--data-centre", "sve-1",
			"--listen", listen, "--peer-listen", peer, "--admin-listen", freeAddress()); err != nil {
			return err
		}
		d.gateways = append(d.gateways, listen)
	}
	return d.waitReady()
}

// apply publishes the configuration from a copy of the example's folder.
func (d *deployment) apply(env []string) error {
	folder := filepath.Join(d.dir, "config")
	if err := os.CopyFS(folder, os.DirFS(configFolder)); err != nil {
		return err
	}
	cmd := exec.Command("target/hickorystage", "config", "apply", folder, "--author", "review")
	cmd.Env = append(os.Environ(), env...)
	out, err := cmd.CombinedOutput()
	d.logf("config apply: %s", strings.TrimSpace(string(out)))
	return err
}

// run starts a process with its output in a file.
func (d *deployment) run(env []string, name string, args ...string) error {
	out, err := os.CreateTemp(d.dir, "log")
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(name, args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	d.processes = append(d.processes, cmd)
	d.logf("started %s %s, pid %d", name, strings.Join(args, " "), cmd.Process.Pid)
	return nil
}

func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer listener.Close()
	return listener.Addr().String()
}

// waitReady waits until both gateways run a booking.
func (d *deployment) waitReady() error {
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		ready := 0
		for n := range d.gateways {
			if d.book(n, "probe-"+lab.NewID()) == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.gateways) {
			return nil
		}
	}
	return fmt.Errorf("the gateways don't run bookings")
}

// book sends a booking under the caller's own key to a gateway and returns the status, 0
// without an answer.
func (d *deployment) book(gateway int, key string) int {
	body := fmt.Sprintf(`{"key":%q,"address":"Storgatan 1"}`, key)
	req, err := http.NewRequest(http.MethodPost, "http://"+d.gateways[gateway]+"/v1/actions/booking/confirm", strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", key)
	resp, err := (&http.Client{Timeout: 8 * time.Second}).Do(req)
	if err != nil {
		d.logf("gateway %d, key %s: %v", gateway+1, key, err)
		return 0
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	d.logf("gateway %d, key %s: %d %s", gateway+1, key, resp.StatusCode, strings.TrimSpace(string(answer)))
	return resp.StatusCode
}

func (d *deployment) judge(keys []string) int {
	resp, err := http.Get("http://" + d.serviceAdmin + "/executions")
	if err != nil {
		return lab.NotRun
	}
	defer resp.Body.Close()
	var counts struct {
		ByKey map[string]int `json:"by_key"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&counts); err != nil {
		return lab.NotRun
	}
	twice := 0
	for _, key := range keys {
		d.logf("the service ran %s %d times", key, counts.ByKey[key])
		if counts.ByKey[key] > 1 {
			twice++
		}
	}
	result := fmt.Sprintf("%d bookings, %d of them ran more than once", len(keys), twice)
	d.logf("result: %s", result)
	fmt.Println(result)
	if twice > 0 {
		return lab.Broken
	}
	return lab.Held
}

// end ends all processes that were started, the last first.
func (d *deployment) end() {
	for i := len(d.processes) - 1; i >= 0; i-- {
		_ = d.processes[i].Process.Kill()
		_ = d.processes[i].Wait()
	}
}
