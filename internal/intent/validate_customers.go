package intent

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// keyHash matches a hex SHA-256 hash.
var keyHash = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)

func (v *validator) customers() {
	for _, name := range sortedKeys(v.in.Customers) {
		c := v.in.Customers[name]
		path := v.paths.field("customers", name)
		v.name(entryName, path, name, wantEntryName)
		v.keyHashes(path, c.KeyHashes)
		c.Residency = v.shared(v.residency(path, c))
		v.in.Customers[name] = c
		v.unservedModels(path, c)
	}
}

func (v *validator) keyHashes(customer string, hashes []string) {
	path := v.paths.field(customer, "key_hashes")
	if len(hashes) == 0 {
		v.report(Warning, path, "the customer has no API key, so nobody can call in its name", "at least one hash")
	}
	for i, hash := range hashes {
		v.keyHash(v.paths.item(path, i), hash)
	}
}

func (v *validator) keyHash(path, hash string) {
	if !keyHash.MatchString(hash) {
		v.fault(path, "not a hex SHA-256 hash", "64 hex digits")
		return
	}
	hash = strings.ToLower(hash)
	if first, ok := v.keyOwner[hash]; ok {
		v.fault(path, "the same key hash as "+first, "a key of its own")
		return
	}
	v.keyOwner[hash] = path
}

// residency checks home and residency and returns the residency with its
// default, the home region.
func (v *validator) residency(path string, c Customer) []string {
	home := v.paths.field(path, "home")
	known := false
	if c.HomeRegion == "" {
		v.fault(home, "is missing", wantOneOf("", keysOf(v.in.Regions)))
	} else {
		known = reference(v, home, "region", c.HomeRegion, v.in.Regions)
	}
	if len(c.Residency) == 0 {
		return []string{c.HomeRegion}
	}
	list := v.paths.field(path, "residency")
	v.regionList(list, c.Residency)
	if known && !slices.Contains(c.Residency, c.HomeRegion) {
		v.fault(list, fmt.Sprintf("excludes the home region %q", clip(c.HomeRegion)), "a list with the home region in it")
	}
	return c.Residency
}

// shared returns the first list that was equal to regions.
func (v *validator) shared(regions []string) []string {
	key := strings.Join(regions, " ")
	if first, ok := v.residencies[key]; ok {
		return first
	}
	v.residencies[key] = regions
	return regions
}

// unservedModels warns of models that no region of the residency serves.
func (v *validator) unservedModels(path string, c Customer) {
	for _, name := range sortedKeys(v.in.Models) {
		if !v.servedIn(v.in.Models[name], c.Residency) {
			v.report(Warning, v.paths.field(path, "residency"),
				fmt.Sprintf("no region of the residency has a group of model %q", name), "")
		}
	}
}

func (v *validator) servedIn(m Model, regions []string) bool {
	return slices.ContainsFunc(m.Groups, func(group string) bool {
		return slices.ContainsFunc(v.in.Groups[group].Regions, func(r string) bool {
			return slices.Contains(regions, r)
		})
	})
}
