// Package inforce measures how long it takes from the publication of a
// configuration change until running gateways have applied it.
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

const (
	pollInterval   = 20 * time.Millisecond
	requestTimeout = 2 * time.Second
	// inForceTimeout is how long a gateway may take to apply a change before the
	// measurement fails.
	inForceTimeout = 30 * time.Second
)

// Options configure a measurement.
type Options struct {
	// StoreURL is the base URL of the store.
	StoreURL string
	// StoreAdminURL is the base URL of the store's fault switches.
	StoreAdminURL string
	// AdminURLs are the base URLs of the gateways' operator listeners.
	AdminURLs    []string
	Token        string
	ConfigFolder string
	ChangeCount  int
	MinPause     time.Duration
	// Fault is enabled at the store just before each change; a fault with an
	// empty Kind is none.
	Fault fault.Setting
}

// TimeoutError reports that a gateway did not apply a revision in time.
type TimeoutError struct {
	AdminURL string
	Revision uint64
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("gateway %s did not apply revision %d within %s", e.AdminURL, e.Revision, inForceTimeout)
}

// NotAcceptedError reports a change that was not accepted at publication.
type NotAcceptedError struct{ Outcome publish.Outcome }

// Error implements error.
func (e *NotAcceptedError) Error() string { return fmt.Sprintf("change not accepted: %+v", e.Outcome) }

// Run publishes o.ChangeCount changes, one after another, and writes a line with
// quantiles of the times that the gateways took to w. It stops at the first error.
func Run(ctx context.Context, o Options, w io.Writer) error {
	var durations []time.Duration
	for i := range o.ChangeCount {
		d, err := measure(ctx, o, i)
		if err != nil {
			return err
		}
		durations = append(durations, d...)
		if !sleep(ctx, o.MinPause+time.Duration(i%7)*o.MinPause/7) {
			return ctx.Err()
		}
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	quantile := func(q float64) time.Duration {
		return durations[int(q*float64(len(durations)-1))].Round(time.Millisecond)
	}
	name := o.Fault.Kind
	if name == "" {
		name = "none"
	}
	_, err := fmt.Fprintf(w, "fault %s: %d changes, %d gateways, in force p50 %s p99 %s max %s\n",
		name, o.ChangeCount, len(o.AdminURLs), quantile(0.5), quantile(0.99), quantile(1))
	return err
}

// measure publishes change i and returns how long each gateway took to apply it,
// counted from just before the publication.
func measure(ctx context.Context, o Options, i int) ([]time.Duration, error) {
	if err := o.enableFault(ctx); err != nil {
		return nil, err
	}
	start := time.Now()
	revision, err := o.publish(ctx, i)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var durations []time.Duration
	g, ctx := errgroup.WithContext(ctx)
	for _, adminURL := range o.AdminURLs {
		g.Go(func() error {
			if err := o.awaitRevision(ctx, adminURL, revision); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			durations = append(durations, time.Since(start))
			return nil
		})
	}
	return durations, g.Wait()
}

// enableFault sets o.Fault at the store, if there is one.
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

// publish publishes the configuration folder with one routing setting changed,
// over new connections, and returns the accepted revision.
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

// awaitRevision polls a gateway until it has applied the revision or a later one.
func (o Options) awaitRevision(ctx context.Context, adminURL string, revision uint64) error {
	deadline := time.Now().Add(inForceTimeout)
	for time.Now().Before(deadline) {
		if applied, err := o.fetchRevision(ctx, adminURL); err == nil && applied >= revision {
			return nil
		}
		if !sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return &TimeoutError{AdminURL: adminURL, Revision: revision}
}

// statusResponse is the part of a gateway's status response that this package
// reads.
type statusResponse struct {
	Revision uint64 `json:"revision"`
}

// fetchRevision returns the revision that a gateway has applied.
func (o Options) fetchRevision(ctx context.Context, adminURL string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, adminURL+"/admin/v1/status", nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+o.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var status statusResponse
	err = json.NewDecoder(resp.Body).Decode(&status)
	return status.Revision, err
}

// sleep waits for d and returns false if ctx ends first.
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
