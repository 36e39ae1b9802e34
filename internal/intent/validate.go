package intent

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// entryNamePattern matches the names of regions, customers, services, calls and groups.
var entryNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// modelNamePattern matches the names of models, which callers send.
var modelNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}$`)

const (
	wantEntryName = "lower-case letters, digits, '-' and '_', at most 63"
	wantModelName = "letters, digits and . _ : / -, at most 127"
)

// validator checks what no single field shows: names, references, and rules
// between fields. It works on the merged values.
type validator struct {
	in     *Intent
	paths  pathBuilder
	positions map[string]Position
	// faultyPaths holds the paths that have a fault already.
	faultyPaths map[string]bool
	diags  Diagnostics
	// keyHashPaths maps key hashes to the path that used them first.
	keyHashPaths map[string]string
	// internedResidencies maps joined lists of regions to the list that customers
	// with the same one share, which keeps a large configuration small.
	internedResidencies map[string][]string
}

func validate(in *Intent, places map[string]Position, p pathBuilder, earlier Diagnostics) Diagnostics {
	v := &validator{
		in:       in,
		paths:    p,
		positions:   places,
		faultyPaths:   make(map[string]bool),
		keyHashPaths: make(map[string]string),

		internedResidencies: make(map[string][]string),
	}
	for _, d := range earlier {
		if d.Severity == Fault {
			v.faultyPaths[d.Path] = true
		}
	}
	v.validateRegions()
	v.validateLinks()
	v.validateGroups()
	v.validateModels()
	v.validateServices()
	v.validateCustomers()
	v.validateWeights()
	return v.diags
}

// report adds a finding unless the field has a fault already.
func (v *validator) report(s Severity, path, problem, want string) {
	if v.faultyPaths[path] {
		return
	}
	v.diags = append(v.diags, Diagnostic{
		Severity: s,
		Position: v.positionOf(path),
		Path:     path,
		Problem:  problem,
		Want:     want,
	})
}

func (v *validator) reportFault(path, problem, want string) { v.report(Fault, path, problem, want) }

// positionOf returns the position of path, or of the nearest path around it.
func (v *validator) positionOf(path string) Position {
	for path != "" {
		if pos, ok := v.positions[path]; ok {
			return pos
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return Position{}
}

func (v *validator) validateName(pattern *regexp.Regexp, path, name, want string) {
	if !pattern.MatchString(name) {
		v.reportFault(path, "not a valid name", want)
	}
}

// validateReference checks that name is one of the declared ones.
func validateReference[T any](v *validator, path, kind, name string, declared map[string]T) bool {
	if _, ok := declared[name]; ok {
		return true
	}
	v.reportFault(path, fmt.Sprintf("unknown %s %q", kind, truncate(name)), suggestOneOf(name, keysOf(declared)))
	return false
}

// rejectDuplicates checks that a list names nothing twice.
func (v *validator) rejectDuplicates(path string, list []string) {
	for i, item := range list {
		if slices.Contains(list[:i], item) {
			v.reportFault(v.paths.item(path, i), fmt.Sprintf("%q is listed twice", truncate(item)), "each name once")
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := keysOf(m)
	slices.Sort(keys)
	return keys
}

func (v *validator) validateRegions() {
	if len(v.in.Regions) == 0 {
		v.reportFault("regions", "no region is declared", "at least one region")
	}
	for _, name := range sortedKeys(v.in.Regions) {
		path := v.paths.field("regions", name)
		v.validateName(entryNamePattern, path, name, wantEntryName)
		list := v.paths.field(path, "data_centres")
		if len(v.in.Regions[name].DataCentres) == 0 {
			v.reportFault(list, "no data centre is listed", "at least one data centre")
		}
		v.rejectDuplicates(list, v.in.Regions[name].DataCentres)
	}
}

func (v *validator) validateLinks() {
	valid := v.countLinkNames()
	for _, name := range sortedKeys(v.in.Links) {
		if name == DefaultLinkName || valid[name] == 1 {
			continue
		}
		path := v.paths.field("links", name)
		if valid[name] > 1 {
			v.reportFault(path, "means more than one pair of regions", "region names that join unambiguously")
			continue
		}
		v.reportFault(path, "names no pair of declared regions", v.suggestLink(name, valid))
	}
	if _, ok := v.in.Links[DefaultLinkName]; !ok && len(v.in.Regions) > 1 {
		v.reportMissingLinks(valid)
	}
}

// countLinkNames counts the pairs of regions that each link name stands for.
func (v *validator) countLinkNames() map[string]int {
	names := make(map[string]int)
	regions := sortedKeys(v.in.Regions)
	for i, a := range regions {
		for _, b := range regions[i+1:] {
			names[LinkName(a, b)]++
		}
	}
	return names
}

// suggestLink suggests a link name: the same pair in order, or the nearest one.
func (v *validator) suggestLink(name string, valid map[string]int) string {
	for i, c := range name {
		if c != '-' {
			continue
		}
		if swapped := LinkName(name[:i], name[i+1:]); valid[swapped] > 0 {
			return fmt.Sprintf("%q: the two names in order", swapped)
		}
	}
	return suggestOneOf(name, keysOf(valid))
}

func (v *validator) reportMissingLinks(valid map[string]int) {
	for _, name := range sortedKeys(valid) {
		if _, ok := v.in.Links[name]; !ok {
			v.reportFault(v.paths.field("links", name), "no link is declared for this pair of regions",
				"the link, or the default link \"*\"")
		}
	}
}

func (v *validator) validateWeights() {
	if v.in.Routing.Weights == (Weights{}) {
		v.reportFault("routing.weights", "every weight is 0", "at least one above 0")
	}
}
