package command

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/intent/publish"
)

// stateFileName is the hidden file in which apply and pull keep a folder's
// state.
const stateFileName = ".hickorystage-base"

// folderState holds the revision that the folder is based on, and the change
// whose outcome is unknown, if there is one.
type folderState struct {
	Base    *publish.Base  `json:"base,omitempty"`
	Pending *pendingChange `json:"pending,omitempty"`
}

// pendingChange is a change that apply began to publish and whose outcome is
// unknown.
type pendingChange struct {
	ID      string        `json:"change_id"`
	Author  string        `json:"author"`
	Replace bool          `json:"replace,omitempty"`
	Base    *publish.Base `json:"base,omitempty"`
	// Target lists the folder's files when the change began, which are to be
	// published. Only its Files are used; Revision is 0.
	Target publish.Base `json:"target"`
}

// readState returns the folder's state, or an empty one if the folder has no
// state file. An error is a *UsageError.
func readState(folder string) (folderState, error) {
	var s folderState
	path := filepath.Join(folder, stateFileName)
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return s, &UsageError{Problems: []string{err.Error()}}
	}
	if err := json.Unmarshal(b, &s); err != nil {
		return s, &UsageError{Problems: []string{path + ": " + err.Error()}}
	}
	return s, nil
}

// write replaces the folder's state file.
func (s folderState) write(folder string) error {
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	if err := writeFileAtomic(filepath.Join(folder, stateFileName), append(b, '\n')); err != nil {
		return &UsageError{Problems: []string{"write the folder's state: " + err.Error()}}
	}
	return nil
}
