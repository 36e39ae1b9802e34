package intent

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// entryName matches the names of regions, customers, services, calls and groups.
var entryName = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// modelName matches the names of models, which callers send.
var modelName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}$`)

const (
	wantEntryName = "lower-case letters, digits, '-' and '_', at most 63"
	wantModelName = "letters, digits and . _ : / -, at most 127"
)

// validator checks what no single field shows: names, references, and rules
// between fields. It works on the merged values.
type validator struct {
	in     *Intent
	paths  paths
	places map[string]Position
	// faulty holds the paths that have a fault already.
	faulty map[string]bool
	diags  Diagnostics
	// keyOwner maps key hashes to the path that used them first.
	keyOwner map[string]string
	// residencies maps joined lists of regions to the list that customers
	// with the same one share, which keeps a large configuration small.
	residencies map[string][]string
}

func validate(in *Intent, places map[string]Position, p paths, earlier Diagnostics) Diagnostics {
	v := &validator{
		in:       in,
		paths:    p,
		places:   places,
		faulty:   make(map[string]bool),
		keyOwner: make(map[string]string),

		residencies: make(map[string][]string),
	}
	for _, d := range earlier {
		if d.Severity == Fault {
			v.faulty[d.Path] = true
		}
	}
	v.regions()
	v.links()
	v.groups()
	v.models()
	v.services()
	v.customers()
	v.weights()
	return v.diags
}

// report adds a finding unless the field has a fault already.
func (v *validator) report(s Severity, path, problem, want string) {
	if v.faulty[path] {
		return
	}
	v.diags = append(v.diags, Diagnostic{
		Severity: s,
		Position: v.place(path),
		Path:     path,
		Problem:  problem,
		Want:     want,
	})
}

func (v *validator) fault(path, problem, want string) { v.report(Fault, path, problem, want) }

// place returns the position of path, or of the nearest path around it.
func (v *validator) place(path string) Position {
	for path != "" {
		if pos, ok := v.places[path]; ok {
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

func (v *validator) name(pattern *regexp.Regexp, path, name, want string) {
	if !pattern.MatchString(name) {
		v.fault(path, "not a valid name", want)
	}
}

// reference checks that name is one of the declared ones.
func reference[T any](v *validator, path, kind, name string, declared map[string]T) bool {
	if _, ok := declared[name]; ok {
		return true
	}
	v.fault(path, fmt.Sprintf("unknown %s %q", kind, clip(name)), wantOneOf(name, keysOf(declared)))
	return false
}

// noRepeats checks that a list names nothing twice.
func (v *validator) noRepeats(path string, list []string) {
	for i, item := range list {
		if slices.Contains(list[:i], item) {
			v.fault(v.paths.item(path, i), fmt.Sprintf("%q is listed twice", clip(item)), "each name once")
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := keysOf(m)
	slices.Sort(keys)
	return keys
}

func (v *validator) regions() {
	if len(v.in.Regions) == 0 {
		v.fault("regions", "no region is declared", "at least one region")
	}
	for _, name := range sortedKeys(v.in.Regions) {
		path := v.paths.field("regions", name)
		v.name(entryName, path, name, wantEntryName)
		list := v.paths.field(path, "data_centres")
		if len(v.in.Regions[name].DataCentres) == 0 {
			v.fault(list, "no data centre is listed", "at least one data centre")
		}
		v.noRepeats(list, v.in.Regions[name].DataCentres)
	}
}

func (v *validator) links() {
	valid := v.linkNames()
	for _, name := range sortedKeys(v.in.Links) {
		if name == DefaultLinkName || valid[name] == 1 {
			continue
		}
		path := v.paths.field("links", name)
		if valid[name] > 1 {
			v.fault(path, "means more than one pair of regions", "region names that join unambiguously")
			continue
		}
		v.fault(path, "names no pair of declared regions", v.wantLink(name, valid))
	}
	if _, ok := v.in.Links[DefaultLinkName]; !ok && len(v.in.Regions) > 1 {
		v.missingLinks(valid)
	}
}

// linkNames counts the pairs of regions that each link name stands for.
func (v *validator) linkNames() map[string]int {
	names := make(map[string]int)
	regions := sortedKeys(v.in.Regions)
	for i, a := range regions {
		for _, b := range regions[i+1:] {
			names[LinkName(a, b)]++
		}
	}
	return names
}

// wantLink suggests a link name: the same pair in order, or the nearest one.
func (v *validator) wantLink(name string, valid map[string]int) string {
	for i, c := range name {
		if c != '-' {
			continue
		}
		if swapped := LinkName(name[:i], name[i+1:]); valid[swapped] > 0 {
			return fmt.Sprintf("%q: the two names in order", swapped)
		}
	}
	return wantOneOf(name, keysOf(valid))
}

func (v *validator) missingLinks(valid map[string]int) {
	for _, name := range sortedKeys(valid) {
		if _, ok := v.in.Links[name]; !ok {
			v.fault(v.paths.field("links", name), "no link is declared for this pair of regions",
				"the link, or the default link \"*\"")
		}
	}
}

func (v *validator) weights() {
	if v.in.Routing.Weights == (Weights{}) {
		v.fault("routing.weights", "every weight is 0", "at least one above 0")
	}
}
