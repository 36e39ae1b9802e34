package command

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/hickorystage/hickorystage/internal/intent"
)

// readFolder returns the configuration files of a folder: those with the
// extension .yaml or .yml that are not hidden. Subfolders are not read. An error
// is a *UsageError.
func readFolder(folder string) ([]intent.File, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, &UsageError{Problems: []string{err.Error()}}
	}
	var files []intent.File
	for _, e := range entries {
		if e.IsDir() || !isConfigFile(e.Name()) {
			continue
		}
		content, err := readConfigFile(filepath.Join(folder, e.Name()))
		if err != nil {
			return nil, &UsageError{Problems: []string{err.Error()}}
		}
		files = append(files, intent.File{Name: e.Name(), Content: content})
	}
	if len(files) == 0 {
		return nil, &UsageError{Problems: []string{fmt.Sprintf("%s: no .yaml file in this folder", folder)}}
	}
	return files, nil
}

func isConfigFile(name string) bool {
	ext := filepath.Ext(name)
	return (ext == ".yaml" || ext == ".yml") && !strings.HasPrefix(name, ".")
}

// readConfigFile reads at most one byte more than the maximum size of a
// configuration file, so that validation rejects a larger file by its size
// without its whole content in memory.
func readConfigFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, intent.MaxFileBytes+1))
}

// writeFileAtomic replaces a file so that a reader sees either the old or the
// new content.
func writeFileAtomic(path string, content []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".hickorystage-tmp-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if _, err = f.Write(content); err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}
