// Package revision defines the form that a configuration has in the store and
// between peers: immutable blobs named by their SHA-256 and one head that names
// the files of a revision. It verifies what it reads and knows nothing of the
// files' meaning.
package revision

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"time"
)

// The keys of the store.
const (
	// HeadKey holds the current head.
	HeadKey = "config/head"
	// BlobPrefix and a hex SHA-256 make the key of a file's content.
	BlobPrefix = "config/blob/"
	// LogPrefix and a revision number make the key of a past head.
	LogPrefix = "config/log/"
)

// Limits of what is accepted.
const (
	MaxFiles         = 1000
	MaxNameBytes     = 255
	MaxHeadBytes     = 256 << 10
	MaxSnapshotBytes = 8 << 20
)

// FileRef names a file and the digest of its content.
type FileRef struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
}

// Head names the files of one revision. Files are in the order of their names.
type Head struct {
	Revision uint64 `json:"revision"`
	// ChangeID is chosen by the publisher and settles a lost answer.
	ChangeID string `json:"change_id"`
	// ParentDigest is the digest of the previous head, empty for the first one.
	ParentDigest string    `json:"parent"`
	Files        []FileRef `json:"files"`
	Author       string    `json:"author"`
	PublishedAt  time.Time `json:"at"`
}

// File is a file with its content.
type File struct {
	Name    string `json:"name"`
	SHA256  string `json:"sha256"`
	Content []byte `json:"content"`
}

// Snapshot is a whole revision as peers exchange it. Head is the head's exact
// bytes, since the digest covers them.
type Snapshot struct {
	Head  []byte `json:"head"`
	Files []File `json:"files"`
}

// Verified is a revision whose head and contents have been checked.
type Verified struct {
	Head Head
	// Digest is the hex SHA-256 of RawHead.
	Digest  string
	RawHead []byte
	Files   []File
}

// InvalidError says why a head or a snapshot is not acceptable.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "invalid revision: " + e.Reason }

func invalid(format string, args ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, args...)}
}

// Digest returns the hex SHA-256 of b.
func Digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// BlobKey returns the store key of a content's digest.
func BlobKey(sha256Hex string) string { return BlobPrefix + sha256Hex }

// LogKey returns the store key of a past revision's head.
func LogKey(revision uint64) string { return LogPrefix + strconv.FormatUint(revision, 10) }

// Encode returns the head's bytes as they are stored.
func (h Head) Encode() ([]byte, error) { return json.Marshal(h) }

// ParseHead decodes and checks a head.
func ParseHead(raw []byte) (Head, error) {
	if len(raw) > MaxHeadBytes {
		return Head{}, invalid("head of %d bytes exceeds %d", len(raw), MaxHeadBytes)
	}
	var h Head
	if err := json.Unmarshal(raw, &h); err != nil {
		return Head{}, invalid("head is not JSON: %v", err)
	}
	return h, h.validate()
}

func (h Head) validate() error {
	if h.Revision == 0 {
		return invalid("revision is not positive")
	}
	if len(h.Files) > MaxFiles {
		return invalid("%d files exceed %d", len(h.Files), MaxFiles)
	}
	for i, f := range h.Files {
		if f.Name == "" || len(f.Name) > MaxNameBytes {
			return invalid("file %d has a name of %d bytes", i, len(f.Name))
		}
		if i > 0 && h.Files[i-1].Name >= f.Name {
			return invalid("file %q is out of order", f.Name)
		}
		if !isDigest(f.SHA256) {
			return invalid("file %q has a malformed digest", f.Name)
		}
	}
	return nil
}

func isDigest(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == sha256.Size && s == hex.EncodeToString(b)
}

// ParseSnapshot decodes and verifies a snapshot from a peer.
func ParseSnapshot(raw []byte) (*Verified, error) { return ParseDelta(raw, nil) }

// ParseDelta decodes and verifies a snapshot from a peer. A file that Reduce
// emptied is filled from known, which holds contents by their digest.
func ParseDelta(raw []byte, known map[string][]byte) (*Verified, error) {
	s, err := decodeSnapshot(raw)
	if err != nil {
		return nil, err
	}
	for i, f := range s.Files {
		if content, ok := known[f.SHA256]; ok && len(f.Content) == 0 {
			s.Files[i].Content = content
		}
	}
	return Verify(s.Head, s.Files)
}

// MakeDelta returns the snapshot without the contents whose digests are in have.
func MakeDelta(raw []byte, have []string) ([]byte, error) {
	s, err := decodeSnapshot(raw)
	if err != nil {
		return nil, err
	}
	held := make(map[string]bool, len(have))
	for _, digest := range have {
		held[digest] = true
	}
	for i, f := range s.Files {
		if held[f.SHA256] {
			s.Files[i].Content = nil
		}
	}
	return json.Marshal(s)
}

func decodeSnapshot(raw []byte) (Snapshot, error) {
	var s Snapshot
	if len(raw) > MaxSnapshotBytes {
		return s, invalid("snapshot of %d bytes exceeds %d", len(raw), MaxSnapshotBytes)
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, invalid("snapshot is not JSON: %v", err)
	}
	return s, nil
}

// Verify checks that files are exactly those that the head names and that each
// content has its digest.
func Verify(rawHead []byte, files []File) (*Verified, error) {
	head, err := ParseHead(rawHead)
	if err != nil {
		return nil, err
	}
	if len(files) != len(head.Files) {
		return nil, invalid("%d files where the head names %d", len(files), len(head.Files))
	}
	for i, ref := range head.Files {
		if files[i].Name != ref.Name {
			return nil, invalid("file %d is %q, the head names %q", i, files[i].Name, ref.Name)
		}
		if Digest(files[i].Content) != ref.SHA256 {
			return nil, invalid("content of %q does not match its digest", ref.Name)
		}
		files[i].SHA256 = ref.SHA256
	}
	return &Verified{
		Head:    head,
		Digest:  Digest(rawHead),
		RawHead: bytes.Clone(rawHead),
		Files:   files,
	}, nil
}

// Snapshot returns the revision in the form that peers exchange.
func (v *Verified) Snapshot() ([]byte, error) {
	return json.Marshal(Snapshot{Head: v.RawHead, Files: v.Files})
}
