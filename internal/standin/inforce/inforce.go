// Package inforce measures how long a published change takes until running
// gateways hold it.
package inforce

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/publish"
	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/fault"
)

// The waits of a measurement.
const (
	pollInterval   = 20 * time.Millisecond
	requestTimeout = 2 * time.Second
	// inForceTimeout is when a change counts as not in force.
	inForceTimeout = 30 * time.Second
)

// Options say what to measure.
type Options struct {
	StoreURL string
	// StoreAdminURL is the base URL of the store's fault switches.
	StoreAdminURL string
	// AdminURLs are the base URLs of the gateways' operators' listeners.
	AdminURLs    []string
	Token        string
	ConfigFolder string
	ChangeCount  int
	MinPause     time.Duration
	// Fault is thrown at the store just before each change, empty for none.
	Fault fault.Setting
}

// TimeoutError says that a gateway did not hold a change in time.
type TimeoutError struct {
	AdminURL string
	Revision uint64
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%s does not hold revision %d after %s", e.AdminURL, e.Revision, inForceTimeout)
}

// NotAcceptedError says that the store did not accept a change.
type NotAcceptedError struct{ Outcome publish.Outcome }

// Error implements error.
func (e *NotAcceptedError) Error() string { return fmt.Sprintf("change not accepted: %+v", e.Outcome) }

// Run publishes the changes and writes a line of quantiles to w.
func Run(ctx context.Context, o Options, w io.Writer) error {
	var took []time.Duration
	for i := range o.ChangeCount {
		d, err := measure(ctx, o, i)
		if err != nil {
			return err
		}
		took = append(took, d...)
		if !sleep(ctx, o.MinPause+time.Duration(i%7)*o.MinPause/7) {
			return ctx.Err()
		}
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	at := func(q float64) time.Duration { return took[int(q*float64(len(took)-1))].Round(time.Millisecond) }
	name := o.Fault.Kind
	if name == "" {
		name = "none"
	}
	_, err := fmt.Fprintf(w, "fault %s: %d changes, %d gateways, in force p50 %s p99 %s max %s\n",
		name, o.ChangeCount, len(o.AdminURLs), at(0.5), at(0.99), at(1))
	return err
}

// measure publishes change i and returns how long each gateway took, from just
// before the publication.
func measure(ctx context.Context, o Options, i int) ([]time.Duration, error) {
	if err := o.enableFault(ctx); err != nil {
		return nil, err
	}
	start := time.Now()
	rev, err := o.publish(ctx, i)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var took []time.Duration
	g, ctx := errgroup.WithContext(ctx)
	for _, admin := range o.AdminURLs {
		g.Go(func() error {
			if err := o.awaitRevision(ctx, admin, rev); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(start))
			return nil
		})
	}
	return took, g.Wait()
}

func (o Options) enableFault(ctx context.Context) error {
	if o.Fault.Kind == "" {
		return nil
	}
	body, err := json.Marshal(o.Fault)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, o.StoreAdminURL+"/faults", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// publish publishes the folder with one routing knob changed, over new
// connections.
func (o Options) publish(ctx context.Context, i int) (uint64, error) {
	files, err := readFolder(o.ConfigFolder)
	if err != nil {
		return 0, err
	}
	content := fmt.Sprintf("routing: {away_margin: %dms}\n", 100+i%100)
	files = append(files, intent.File{Name: "zz-change.yaml", Content: []byte(content)})
	store := platform.NewHTTPStore(o.StoreURL, platform.Options{})
	defer store.Close()
	change := publish.Change{Author: "inforce", Files: files, Replace: true}
	change.ID = publish.NewChangeID(change)
	outcome, err := publish.New(store, publish.Options{}).Apply(ctx, change)
	if err != nil {
		return 0, err
	}
	accepted, ok := outcome.(publish.Accepted)
	if !ok {
		return 0, &NotAcceptedError{Outcome: outcome}
	}
	return accepted.Revision, nil
}

func readFolder(folder string) ([]intent.File, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.yaml"))
	if err != nil {
		return nil, err
	}
	var files []intent.File
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		files = append(files, intent.File{Name: filepath.Base(path), Content: content})
	}
	return files, nil
}

// awaitRevision polls a gateway until it holds the revision.
func (o Options) awaitRevision(ctx context.Context, admin string, rev uint64) error {
	deadline := time.Now().Add(inForceTimeout)
	for time.Now().Before(deadline) {
		if held, err := o.fetchRevision(ctx, admin); err == nil && held >= rev {
			return nil
		}
		if !sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return &TimeoutError{AdminURL: admin, Revision: rev}
}

// statusResponse is the part of a gateway's status that is read here.
type statusResponse struct {
	Revision uint64 `json:"revision"`
}

func (o Options) fetchRevision(ctx context.Context, admin string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, admin+"/admin/v1/status", nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+o.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var s statusResponse
	err = json.NewDecoder(resp.Body).Decode(&s)
	return s.Revision, err
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
