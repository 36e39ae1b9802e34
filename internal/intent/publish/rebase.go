package publish

import (
	"slices"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// fileDigests maps the names of files to the digests of their contents. A name
// without a digest is absent.
type fileDigests map[string]string

func fileDigestsOf(refs []revision.FileRef) fileDigests {
	l := make(fileDigests, len(refs))
	for _, r := range refs {
		l[r.Name] = r.SHA256
	}
	return l
}

func (l fileDigests) refs() []revision.FileRef {
	refs := make([]revision.FileRef, 0, len(l))
	for _, name := range l.names() {
		refs = append(refs, revision.FileRef{Name: name, SHA256: l[name]})
	}
	return refs
}

func (l fileDigests) names() []string {
	names := make([]string, 0, len(l))
	for name := range l {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// FileRefs lists files with the digests of their contents, in the order of names.
func FileRefs(files []intent.File) []revision.FileRef {
	l := make(fileDigests, len(files))
	for _, f := range files {
		l[f.Name] = revision.Digest(f.Content)
	}
	return l.refs()
}

// ChangeKind tells what happened to a file.
type ChangeKind string

// The kinds of changes to a file.
const (
	Added    ChangeKind = "added"
	Modified ChangeKind = "modified"
	Removed  ChangeKind = "removed"
)

// FileChange is one file that differs between two lists.
type FileChange struct {
	Name string     `json:"name"`
	Kind ChangeKind `json:"kind"`
}

// Diff returns what changed from one list of files to another.
func Diff(from, to []revision.FileRef) []FileChange {
	old, now := fileDigestsOf(from), fileDigestsOf(to)
	var changes []FileChange
	for _, name := range unionNames(old, now) {
		switch {
		case old[name] == now[name]:
		case old[name] == "":
			changes = append(changes, FileChange{Name: name, Kind: Added})
		case now[name] == "":
			changes = append(changes, FileChange{Name: name, Kind: Removed})
		default:
			changes = append(changes, FileChange{Name: name, Kind: Modified})
		}
	}
	return changes
}

// unionNames returns the names of all lists in order.
func unionNames(lists ...fileDigests) []string {
	all := make(fileDigests)
	for _, l := range lists {
		for name := range l {
			all[name] = ""
		}
	}
	return all.names()
}

// mergeResult is the result of a three-way merge by file.
type mergeResult struct {
	files fileDigests
	// kept names the files that only others changed since the base.
	kept []string
	// conflicts names the files that both sides changed to different contents.
	conflicts []string
}

// threeWayMerge puts the changes from base to mine on top of head.
func threeWayMerge(base, mine, head fileDigests) mergeResult {
	r := mergeResult{files: make(fileDigests, len(head))}
	for _, name := range unionNames(base, mine, head) {
		b, m, h := base[name], mine[name], head[name]
		result := m
		switch {
		case m == b:
			result = h
			if h != b {
				r.kept = append(r.kept, name)
			}
		case h != b && h != m:
			r.conflicts = append(r.conflicts, name)
		}
		if result != "" {
			r.files[name] = result
		}
	}
	return r
}

func (l fileDigests) equal(other fileDigests) bool {
	if len(l) != len(other) {
		return false
	}
	for name, digest := range l {
		if other[name] != digest {
			return false
		}
	}
	return true
}
