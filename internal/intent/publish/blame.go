package publish

import (
	"context"

	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// maxBlameRevisions bounds the revisions that are read to name a change.
const maxBlameRevisions = 200

// blame names, for each file, the change that gave it its content in the head.
// When the history can't be read far enough, it names the oldest change read
// that holds the content.
func (p *Publisher) blame(ctx context.Context, head storedHead, names []string) []FileConflict {
	current := fileDigestsOf(head.Files)
	found := make(map[string]revision.Head, len(names))
	open := make(map[string]bool, len(names))
	for _, name := range names {
		open[name] = true
	}
	steps := 0
	// A failed read ends the walk; what was found so far is still true.
	_ = p.walkHistory(ctx, head, 0, func(h revision.Head) bool {
		files := fileDigestsOf(h.Files)
		for name := range open {
			if files[name] != current[name] {
				delete(open, name)
				continue
			}
			found[name] = h
		}
		steps++
		return len(open) > 0 && steps < maxBlameRevisions
	})
	conflicts := make([]FileConflict, len(names))
	for i, name := range names {
		by := found[name]
		conflicts[i] = FileConflict{
			File:        name,
			Revision:    by.Revision,
			ChangeID:    by.ChangeID,
			Author:      by.Author,
			PublishedAt: by.PublishedAt,
		}
	}
	return conflicts
}
