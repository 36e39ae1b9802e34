package publish

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
	"github.com/hickorystage/hickorystage/internal/platform"
)

// storedHead is the head as read from the store. The zero value means that there
// is no head; version 0 means the same in a compare-and-swap.
type storedHead struct {
	revision.Head
	raw     []byte
	version uint64
}

// readHead returns the newest revision. A missing head is an error if the log has
// entries: gateways would reject revisions that start again at 1.
func (p *Publisher) readHead(ctx context.Context) (storedHead, error) {
	h, err := p.readHeadOnce(ctx)
	if err != nil || h.version != 0 {
		return h, err
	}
	if _, err = p.getKey(ctx, revision.LogKey(1)); isNotFound(err) {
		return storedHead{}, nil
	}
	if err != nil {
		return storedHead{}, err
	}
	// The first revision may have been published between the two reads, so the
	// head is read again.
	h, err = p.readHeadOnce(ctx)
	if err == nil && h.version == 0 {
		err = &ChainError{Revision: 1, Reason: "present in the log, but the store has no head"}
	}
	return h, err
}

func (p *Publisher) readHeadOnce(ctx context.Context) (storedHead, error) {
	e, err := p.getKey(ctx, revision.HeadKey)
	if isNotFound(err) {
		return storedHead{}, nil
	}
	if err != nil {
		return storedHead{}, err
	}
	h, err := revision.ParseHead(e.Value)
	if err != nil {
		return storedHead{}, errors.Wrap(err, "read head")
	}
	return storedHead{Head: h, raw: e.Value, version: e.Version}, nil
}

// readLog returns a past revision and its encoded head.
func (p *Publisher) readLog(ctx context.Context, rev uint64) (revision.Head, []byte, error) {
	e, err := p.getKey(ctx, revision.LogKey(rev))
	if isNotFound(err) {
		return revision.Head{}, nil, &ChainError{Revision: rev, Reason: "no entry in the log"}
	}
	if err != nil {
		return revision.Head{}, nil, err
	}
	h, err := revision.ParseHead(e.Value)
	if err != nil {
		return revision.Head{}, nil, &ChainError{Revision: rev, Reason: err.Error()}
	}
	return h, e.Value, nil
}

// walkHistory calls visit for the head and the revisions before it, newest first,
// down to but not including floor, until visit returns false. It checks that the
// parent digest of each revision matches the revision before it.
func (p *Publisher) walkHistory(ctx context.Context, head storedHead, floor uint64, visit func(revision.Head) bool) error {
	current := head.Head
	for current.Revision > floor {
		if !visit(current) {
			return nil
		}
		if current.Revision <= floor+1 {
			return nil
		}
		older, raw, err := p.readLog(ctx, current.Revision-1)
		if err != nil {
			return err
		}
		if revision.Digest(raw) != current.ParentDigest {
			return &ChainError{Revision: older.Revision, Reason: "digest differs from the parent digest of the next revision"}
		}
		current = older
	}
	return nil
}

// findChange returns the revision above floor that the change published, if there
// is one.
func (p *Publisher) findChange(ctx context.Context, head storedHead, floor uint64, id string) (rev uint64, found bool, err error) {
	err = p.walkHistory(ctx, head, floor, func(h revision.Head) bool {
		if h.ChangeID == id {
			rev, found = h.Revision, true
		}
		return !found
	})
	return rev, found, err
}

// Head returns the newest revision; ok is false if there is none yet.
func (p *Publisher) Head(ctx context.Context) (h revision.Head, ok bool, err error) {
	s, err := p.readHead(ctx)
	return s.Head, s.version != 0, err
}

// RevisionAt returns the revision with the given number.
func (p *Publisher) RevisionAt(ctx context.Context, rev uint64) (revision.Head, error) {
	s, err := p.readHead(ctx)
	if err != nil || s.Revision == rev {
		return s.Head, err
	}
	h, _, err := p.readLog(ctx, rev)
	return h, err
}

// History returns up to limit revisions, newest first.
func (p *Publisher) History(ctx context.Context, limit int) ([]revision.Head, error) {
	head, err := p.readHead(ctx)
	if err != nil {
		return nil, err
	}
	var list []revision.Head
	err = p.walkHistory(ctx, head, 0, func(h revision.Head) bool {
		list = append(list, h)
		return len(list) < limit
	})
	return list, err
}

func isNotFound(err error) bool {
	var nf *platform.NotFoundError
	return errors.As(err, &nf)
}

// ReadFiles reads the contents of a revision's files from the store.
func (p *Publisher) ReadFiles(ctx context.Context, h revision.Head) ([]intent.File, error) {
	r := newApplyRun(p, Change{})
	return r.readContents(ctx, fileDigestsOf(h.Files))
}
