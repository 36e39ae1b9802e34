package publish

import (
	"context"

	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// maxBlameRevisions bounds the revisions that blame reads.
const maxBlameRevisions = 200

// blame returns, for each file, the change that introduced its content in the
// head. If the history can't be read far enough, it returns the oldest change
// read that has the content.
func (p *Publisher) blame(ctx context.Context, head storedHead, names []string) []FileConflict {
	current := fileDigestsOf(head.Files)
	found := make(map[string]revision.Head, len(names))
	unresolved := make(map[string]bool, len(names))
	for _, name := range names {
		unresolved[name] = true
	}
	revisionsRead := 0
	// A failed read ends the walk; what was found until then remains valid.
	_ = p.walkHistory(ctx, head, 0, func(h revision.Head) bool {
		files := fileDigestsOf(h.Files)
		for name := range unresolved {
			if files[name] != current[name] {
				delete(unresolved, name)
				continue
			}
			found[name] = h
		}
		revisionsRead++
		return len(unresolved) > 0 && revisionsRead < maxBlameRevisions
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
