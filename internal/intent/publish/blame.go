package publish

import (
	"context"

	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// maxBlameSteps bounds the revisions that are read to name a change.
const maxBlameSteps = 200

// blame names, for each file, the change that gave it its content in the head.
// When the history can't be read far enough, it names the oldest change read
// that holds the content.
func (p *Publisher) blame(ctx context.Context, head headState, names []string) []FileConflict {
	current := listingOf(head.Files)
	found := make(map[string]revision.Head, len(names))
	open := make(map[string]bool, len(names))
	for _, name := range names {
		open[name] = true
	}
	steps := 0
	// A failed read ends the walk; what was found so far is still true.
	_ = p.walk(ctx, head, 0, func(h revision.Head) bool {
		files := listingOf(h.Files)
		for name := range open {
			if files[name] != current[name] {
				delete(open, name)
				continue
			}
			found[name] = h
		}
		steps++
		return len(open) > 0 && steps < maxBlameSteps
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
