package intent

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"
)

// File is one file of the configuration folder.
type File struct {
	Name    string
	Content []byte
}

// fileNamePattern matches valid names of configuration files.
var fileNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,120}\.ya?ml$`)

// IsFileName reports whether name is a valid name of a configuration file.
func IsFileName(name string) bool { return fileNamePattern.MatchString(name) }

// Parse merges the files in the order of their names, applies defaults and
// validates the result. The Intent is nil if and only if a diagnostic is a fault.
// Parse does not stop at the first fault, and also reports faults in values that
// a later file overrides.
func Parse(files []File) (*Intent, Diagnostics) {
	in, diags := parse(files, pathsOff, func(f File) (*node, Diagnostics) { return readFile(f, pathsOff) })
	if len(diags) == 0 {
		return in, nil
	}
	return parseWithPaths(files)
}

// parseWithPaths parses with the positions and paths that diagnostics contain.
func parseWithPaths(files []File) (*Intent, Diagnostics) {
	return parse(files, pathsOn, func(f File) (*node, Diagnostics) { return readFile(f, pathsOn) })
}

func parse(files []File, paths pathBuilder, readFile readFileFunc) (*Intent, Diagnostics) {
	p := &fileParser{paths: paths, readFile: readFile}
	merged, allRead := p.mergeFiles(files)
	in, positions := p.decode(merged)
	if allRead {
		p.diags = append(p.diags, validate(in, positions, p.paths, p.diags)...)
	}
	p.diags.sort()
	if p.diags.HasFaults() {
		return nil, p.diags
	}
	in.index = newIndex(in)
	return in, p.diags
}

type fileParser struct {
	paths    pathBuilder
	readFile readFileFunc
	diags    Diagnostics
}

// readFileFunc returns a file's tree, or nil if the file can't be read, and the
// diagnostics of that file alone.
type readFileFunc func(File) (*node, Diagnostics)

// mergeFiles returns the merged tree and reports whether all files could be read.
func (p *fileParser) mergeFiles(files []File) (*node, bool) {
	merged := newMapping(Position{})
	if !p.checkSizes(files) {
		return merged, false
	}
	sorted := slices.Clone(files)
	slices.SortStableFunc(sorted, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	allRead := true
	m := &merger{paths: p.paths}
	for i, f := range sorted {
		if !p.checkName(f, i > 0 && sorted[i-1].Name == f.Name) {
			allRead = false
			continue
		}
		tree, diags := p.readFile(f)
		p.diags = append(p.diags, diags...)
		if tree == nil {
			allRead = false
			continue
		}
		merged = m.applyPatch(merged, tree, "")
	}
	p.diags = append(p.diags, m.diags...)
	return merged, allRead
}

func (p *fileParser) checkSizes(files []File) bool {
	if len(files) > MaxFiles {
		p.reportFileFault("", fmt.Sprintf("%d files", len(files)), fmt.Sprintf("at most %d", MaxFiles))
		return false
	}
	total := 0
	for _, f := range files {
		total += len(f.Content)
	}
	if total > MaxTotalBytes {
		p.reportFileFault("", fmt.Sprintf("%d bytes in all files", total), fmt.Sprintf("at most %d", MaxTotalBytes))
		return false
	}
	return true
}

func (p *fileParser) checkName(f File, repeated bool) bool {
	switch {
	case !IsFileName(f.Name):
		p.reportFileFault(f.Name, "not a valid file name", "letters, digits, '.', '_' and '-', ending in .yaml")
	case repeated:
		p.reportFileFault(f.Name, "given twice", "each file once")
	case len(f.Content) > MaxFileBytes:
		p.reportFileFault(f.Name, fmt.Sprintf("%d bytes", len(f.Content)), fmt.Sprintf("at most %d", MaxFileBytes))
	default:
		return true
	}
	return false
}

func (p *fileParser) reportFileFault(name, problem, want string) {
	p.diags = append(p.diags, Diagnostic{
		Severity: Fault,
		Position: Position{File: name},
		Problem:  problem,
		Want:     want,
	})
}

// decode decodes the merged tree. It drops the decoder's diagnostics because
// readFile reported them for each file already.
func (p *fileParser) decode(merged *node) (*Intent, map[string]Position) {
	d := newDecoder(p.paths)
	in := &Intent{}
	d.decodeValue(merged, reflect.ValueOf(in).Elem(), "", "")
	return in, d.positions
}
