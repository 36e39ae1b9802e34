package intent

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// entryNamePattern matches valid names of regions, customers, services, calls and groups.
var entryNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// modelNamePattern matches valid names of models, which callers send in requests.
var modelNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}$`)

const (
	wantEntryName = "lower-case letters, digits, '-' and '_', at most 63"
	wantModelName = "letters, digits and . _ : / -, at most 127"
)

// validator checks what the decoder can't check field by field: names, references,
// and constraints between fields. It works on the merged values.
type validator struct {
	in        *Intent
	paths     pathBuilder
	positions map[string]Position
	// faultyPaths holds the paths that already have a fault.
	faultyPaths map[string]bool
	diags       Diagnostics
	// keyHashPaths maps each key hash to the path of its first occurrence.
	keyHashPaths map[string]string
	// internedResidencies maps lists of regions, joined to one string, to the
	// list that customers with equal lists share, which saves memory in a large
	// configuration.
	internedResidencies map[string][]string
}

func validate(in *Intent, positions map[string]Position, p pathBuilder, decodeDiags Diagnostics) Diagnostics {
	v := &validator{
		in:           in,
		paths:        p,
		positions:    positions,
		faultyPaths:  make(map[string]bool),
		keyHashPaths: make(map[string]string),

		internedResidencies: make(map[string][]string),
	}
	for _, d := range decodeDiags {
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

// report adds a diagnostic unless the field already has a fault.
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

// positionOf returns the position of path, or of its nearest ancestor that has one.
func (v *validator) positionOf(path string) Position {
	for path != "" {
		if pos, ok := v.positions[path]; ok {
			return pos
		}
		separator := strings.LastIndexAny(path, ".[")
		if separator < 0 {
			break
		}
		path = path[:separator]
	}
	return Position{}
}

func (v *validator) validateName(pattern *regexp.Regexp, path, name, want string) {
	if !pattern.MatchString(name) {
		v.reportFault(path, "not a valid name", want)
	}
}

// validateReference reports whether name is declared, and adds a fault if not.
func validateReference[T any](v *validator, path, kind, name string, declared map[string]T) bool {
	if _, ok := declared[name]; ok {
		return true
	}
	v.reportFault(path, fmt.Sprintf("unknown %s %q", kind, truncate(name)), suggestOneOf(name, keysOf(declared)))
	return false
}

// rejectDuplicates adds a fault for each repeated entry of list.
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
		listPath := v.paths.field(path, "data_centres")
		if len(v.in.Regions[name].DataCentres) == 0 {
			v.reportFault(listPath, "no data centre is listed", "at least one data centre")
		}
		v.rejectDuplicates(listPath, v.in.Regions[name].DataCentres)
	}
}

func (v *validator) validateLinks() {
	pairsByName := v.countLinkNames()
	for _, name := range sortedKeys(v.in.Links) {
		if name == DefaultLinkName || pairsByName[name] == 1 {
			continue
		}
		path := v.paths.field("links", name)
		if pairsByName[name] > 1 {
			v.reportFault(path, "means more than one pair of regions", "region names that join unambiguously")
			continue
		}
		v.reportFault(path, "names no pair of declared regions", v.suggestLink(name, pairsByName))
	}
	if _, ok := v.in.Links[DefaultLinkName]; !ok && len(v.in.Regions) > 1 {
		v.reportMissingLinks(pairsByName)
	}
}

// countLinkNames counts the pairs of regions that each link name can denote. Names
// that contain '-' can make a link name ambiguous.
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

// suggestLink suggests a valid link name: the same pair of regions in the right
// order, or the nearest name.
func (v *validator) suggestLink(name string, pairsByName map[string]int) string {
	for i, c := range name {
		if c != '-' {
			continue
		}
		if swapped := LinkName(name[:i], name[i+1:]); pairsByName[swapped] > 0 {
			return fmt.Sprintf("%q: the two names in order", swapped)
		}
	}
	return suggestOneOf(name, keysOf(pairsByName))
}

func (v *validator) reportMissingLinks(pairsByName map[string]int) {
	for _, name := range sortedKeys(pairsByName) {
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
