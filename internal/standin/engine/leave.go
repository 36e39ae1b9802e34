package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/platform"
)

// Registrar writes an instance to the platform's instance list.
type Registrar struct {
	// URL is the base URL of the instance list.
	URL    string
	Client *http.Client
}

// RegistrarError reports that the instance list rejected a change.
type RegistrarError struct{ Status string }

// Error implements error.
func (e *RegistrarError) Error() string { return "instance list responded with status " + e.Status }

// Put adds or updates an instance.
func (g Registrar) Put(ctx context.Context, i platform.Instance) error {
	body, err := json.Marshal(i)
	if err != nil {
		return errors.Wrap(err, "encode instance")
	}
	return g.do(ctx, http.MethodPut, i.ID, body)
}

// Delete removes an instance.
func (g Registrar) Delete(ctx context.Context, id string) error {
	return g.do(ctx, http.MethodDelete, id, nil)
}

func (g Registrar) do(ctx context.Context, method, id string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, g.URL+"/v1/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request to the instance list")
	}
	resp, err := g.Client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send request to the instance list")
	}
	resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return &RegistrarError{Status: resp.Status}
	}
	return nil
}

// idlePollInterval is how often a leaving engine checks whether it is idle.
const idlePollInterval = 20 * time.Millisecond

// Leave marks the engine as leaving in its load reports and in list, waits until
// grace has passed and no attempt is in flight, then removes the engine from list.
// A nil list is skipped. Leave returns early with an error if ctx is done.
func (s *Server) Leave(ctx context.Context, list *Registrar, grace time.Duration) error {
	s.MarkLeaving()
	if list != nil {
		i := s.cfg.Instance
		i.State = platform.InstanceLeaving
		if err := list.Put(ctx, i); err != nil {
			return err
		}
	}
	if err := s.awaitIdle(ctx, time.Now().Add(grace)); err != nil {
		return err
	}
	if list == nil {
		return nil
	}
	return list.Delete(ctx, s.cfg.Instance.ID)
}

func (s *Server) awaitIdle(ctx context.Context, notBefore time.Time) error {
	tick := time.NewTicker(idlePollInterval)
	defer tick.Stop()
	for time.Now().Before(notBefore) || s.stats.inFlight() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}
