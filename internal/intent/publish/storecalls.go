package publish

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// Delays between attempts of one call on the store.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// backoff returns the delay after the given attempt, counted from 1.
func backoff(attempt int) time.Duration {
	return min(firstBackoff<<min(attempt-1, 10), maxBackoff)
}

// retry calls fn until it returns without a *platform.UnavailableError, the
// attempts are exhausted or ctx ends. fn must be idempotent.
func (p *Publisher) retry(ctx context.Context, fn func() error) error {
	var err error
	for attempt := 1; attempt <= p.opts.MaxCallAttempts; attempt++ {
		err = fn()
		if !isUnavailable(err) || ctx.Err() != nil {
			return err
		}
		if p.opts.Sleep(ctx, backoff(attempt)) != nil {
			return err
		}
	}
	return err
}

func isUnavailable(err error) bool {
	var u *platform.UnavailableError
	return errors.As(err, &u)
}

// getKey reads a key, with retries.
func (p *Publisher) getKey(ctx context.Context, key string) (platform.Entry, error) {
	var e platform.Entry
	err := p.retry(ctx, func() (err error) {
		e, err = p.store.Get(ctx, key)
		return err
	})
	return e, err
}

// createKey writes a key that is never written with a different value. It is
// idempotent: an existing key counts as written.
func (p *Publisher) createKey(ctx context.Context, key string, value []byte) error {
	var absent uint64
	return p.retry(ctx, func() error {
		_, err := p.store.Put(ctx, key, value, platform.PutOptions{IfVersion: &absent})
		if isConflict(err) {
			return nil
		}
		return err
	})
}

func isConflict(err error) bool {
	var c *platform.ConflictError
	return errors.As(err, &c)
}

// ReadBlob reads the content with the given digest and verifies it. A mismatch is
// a *revision.InvalidError.
func (p *Publisher) ReadBlob(ctx context.Context, digest string) ([]byte, error) {
	e, err := p.getKey(ctx, revision.BlobKey(digest))
	if err != nil {
		return nil, err
	}
	if revision.Digest(e.Value) != digest {
		return nil, &revision.InvalidError{Reason: "content of " + digest + " does not match its digest"}
	}
	return e.Value, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
