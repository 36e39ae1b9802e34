package command

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/intent/publish"
)

// stateFileName is kept in the folder by apply and pull.
const stateFileName = ".hickorystage-base"

// folderState is what the folder was taken from, and a change whose outcome
// is not settled.
type folderState struct {
	Base    *publish.Base  `json:"base,omitempty"`
	Pending *pendingChange `json:"pending,omitempty"`
}

// pendingChange is a change that apply began to publish.
type pendingChange struct {
	ID      string        `json:"change_id"`
	Author  string        `json:"author"`
	Replace bool          `json:"replace,omitempty"`
	Base    *publish.Base `json:"base,omitempty"`
	// Target is the folder as the change publishes it. Its revision is 0.
	Target publish.Base `json:"target"`
}

// readState returns the folder's state; it is empty when there is none.
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

func (s folderState) write(folder string) error {
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	if err := writeFileAtomic(filepath.Join(folder, stateFileName), append(b, '\n')); err != nil {
		return &UsageError{Problems: []string{"the folder's state can't be written: " + err.Error()}}
	}
	return nil
}
