// Package revision defines how a configuration is represented in the store and
// exchanged between peers: file contents are immutable blobs named by their
// SHA-256, and one head lists the files of a revision. The package verifies
// digests but does not interpret the files.
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

// Keys in the store.
const (
	// HeadKey holds the current head.
	HeadKey = "config/head"
	// BlobPrefix, followed by a hex SHA-256, is the key of a file's content.
	BlobPrefix = "config/blob/"
	// LogPrefix, followed by a revision number, is the key of a past head.
	LogPrefix = "config/log/"
)

// Limits of a valid revision.
const (
	MaxFiles         = 1000
	MaxNameBytes     = 255
	MaxHeadBytes     = 256 << 10
	MaxSnapshotBytes = 8 << 20
)

// FileRef is a file's name and the digest of its content.
type FileRef struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
}

// Head lists the files of one revision, sorted by name.
type Head struct {
	Revision uint64 `json:"revision"`
	// ChangeID is chosen by the publisher. It finds the change in the history
	// after the store's response was lost.
	ChangeID string `json:"change_id"`
	// ParentDigest is the digest of the previous head, empty in the first revision.
	ParentDigest string    `json:"parent"`
	Files        []FileRef `json:"files"`
	Author       string    `json:"author"`
	PublishedAt  time.Time `json:"at"`
}

// File is a file of a revision with its content.
type File struct {
	Name    string `json:"name"`
	SHA256  string `json:"sha256"`
	Content []byte `json:"content"`
}

// Snapshot is a complete revision as peers exchange it. Head holds the exact bytes
// of the encoded head, because its digest covers them.
type Snapshot struct {
	Head  []byte `json:"head"`
	Files []File `json:"files"`
}

// Verified is a revision whose head is valid and whose contents match their digests.
type Verified struct {
	Head Head
	// Digest is the hex SHA-256 of RawHead.
	Digest  string
	RawHead []byte
	Files   []File
}

// InvalidError reports why a head, a snapshot or a content is invalid.
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

// BlobKey returns the store key of the content with the given digest.
func BlobKey(sha256Hex string) string { return BlobPrefix + sha256Hex }

// LogKey returns the store key of a past revision's head in the log.
func LogKey(revision uint64) string { return LogPrefix + strconv.FormatUint(revision, 10) }

// Encode returns the JSON that is stored as the head.
func (h Head) Encode() ([]byte, error) { return json.Marshal(h) }

// ParseHead decodes and validates a head. Errors are of type *InvalidError.
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

// ParseSnapshot decodes and verifies a complete snapshot from a peer.
func ParseSnapshot(raw []byte) (*Verified, error) { return ParseDelta(raw, nil) }

// ParseDelta decodes and verifies a snapshot from a peer. It takes contents that
// MakeDelta left out from known, which maps digests to contents.
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

// MakeDelta returns the encoded snapshot without the contents whose digests are
// in have. ParseDelta fills them in again.
func MakeDelta(raw []byte, have []string) ([]byte, error) {
	s, err := decodeSnapshot(raw)
	if err != nil {
		return nil, err
	}
	omit := make(map[string]bool, len(have))
	for _, digest := range have {
		omit[digest] = true
	}
	for i, f := range s.Files {
		if omit[f.SHA256] {
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

// Verify checks that files are exactly those that the head lists and that each
// content matches its digest. It sets the SHA256 fields of files. Errors are of
// type *InvalidError.
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

// Snapshot returns the revision encoded as a Snapshot.
func (v *Verified) Snapshot() ([]byte, error) {
	return json.Marshal(Snapshot{Head: v.RawHead, Files: v.Files})
}
