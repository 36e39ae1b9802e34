package publish

import (
	"slices"

	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/intent/revision"
)

// fileDigests maps the names of files to the digests of their contents. An empty
// digest means that the file does not exist.
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

// FileRefs returns the names of files and the digests of their contents, sorted by
// name.
func FileRefs(files []intent.File) []revision.FileRef {
	l := make(fileDigests, len(files))
	for _, f := range files {
		l[f.Name] = revision.Digest(f.Content)
	}
	return l.refs()
}

// ChangeKind is the kind of a change to a file.
type ChangeKind string

// Kinds of changes to a file.
const (
	Added    ChangeKind = "added"
	Modified ChangeKind = "modified"
	Removed  ChangeKind = "removed"
)

// FileChange is one file that differs between two lists of files.
type FileChange struct {
	Name string     `json:"name"`
	Kind ChangeKind `json:"kind"`
}

// Diff returns the changes from one list of files to another, sorted by name.
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

// unionNames returns the names of files in any of the lists, sorted.
func unionNames(lists ...fileDigests) []string {
	all := make(fileDigests)
	for _, l := range lists {
		for name := range l {
			all[name] = ""
		}
	}
	return all.names()
}

// mergeResult is the result of threeWayMerge.
type mergeResult struct {
	files fileDigests
	// kept lists the files that only others changed since the base.
	kept []string
	// conflicts lists the files that both sides changed to different contents.
	conflicts []string
}

// threeWayMerge applies the changes from base to ours to head, file by file.
func threeWayMerge(base, ours, head fileDigests) mergeResult {
	r := mergeResult{files: make(fileDigests, len(head))}
	for _, name := range unionNames(base, ours, head) {
		b, o, h := base[name], ours[name], head[name]
		result := o
		switch {
		case o == b:
			result = h
			if h != b {
				r.kept = append(r.kept, name)
			}
		case h != b && h != o:
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
