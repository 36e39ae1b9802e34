package intent

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// keyHashPattern matches a SHA-256 hash in hex.
var keyHashPattern = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)

func (v *validator) validateCustomers() {
	for _, name := range sortedKeys(v.in.Customers) {
		c := v.in.Customers[name]
		path := v.paths.field("customers", name)
		v.validateName(entryNamePattern, path, name, wantEntryName)
		v.validateKeyHashes(path, c.KeyHashes)
		c.Residency = v.internRegions(v.validateResidency(path, c))
		v.in.Customers[name] = c
		v.warnUnservedModels(path, c)
	}
}

func (v *validator) validateKeyHashes(customerPath string, hashes []string) {
	path := v.paths.field(customerPath, "key_hashes")
	if len(hashes) == 0 {
		v.report(Warning, path, "the customer has no API key, so nobody can call in its name", "at least one hash")
	}
	for i, hash := range hashes {
		v.validateKeyHash(v.paths.item(path, i), hash)
	}
}

func (v *validator) validateKeyHash(path, hash string) {
	if !keyHashPattern.MatchString(hash) {
		v.reportFault(path, "not a hex SHA-256 hash", "64 hex digits")
		return
	}
	hash = strings.ToLower(hash)
	if first, ok := v.keyHashPaths[hash]; ok {
		v.reportFault(path, "the same key hash as "+first, "a key of its own")
		return
	}
	v.keyHashPaths[hash] = path
}

// validateResidency validates a customer's home region and residency. It returns
// the residency, which defaults to the home region.
func (v *validator) validateResidency(path string, c Customer) []string {
	homePath := v.paths.field(path, "home")
	homeDeclared := false
	if c.HomeRegion == "" {
		v.reportFault(homePath, "is missing", suggestOneOf("", keysOf(v.in.Regions)))
	} else {
		homeDeclared = validateReference(v, homePath, "region", c.HomeRegion, v.in.Regions)
	}
	if len(c.Residency) == 0 {
		return []string{c.HomeRegion}
	}
	residencyPath := v.paths.field(path, "residency")
	v.validateRegionList(residencyPath, c.Residency)
	if homeDeclared && !slices.Contains(c.Residency, c.HomeRegion) {
		v.reportFault(residencyPath, fmt.Sprintf("excludes the home region %q", truncate(c.HomeRegion)), "a list with the home region in it")
	}
	return c.Residency
}

// internRegions returns the first list that is equal to regions.
func (v *validator) internRegions(regions []string) []string {
	key := strings.Join(regions, " ")
	if first, ok := v.internedResidencies[key]; ok {
		return first
	}
	v.internedResidencies[key] = regions
	return regions
}

// warnUnservedModels adds a warning for each model that no region of the
// customer's residency serves.
func (v *validator) warnUnservedModels(path string, c Customer) {
	for _, name := range sortedKeys(v.in.Models) {
		if !v.isServedIn(v.in.Models[name], c.Residency) {
			v.report(Warning, v.paths.field(path, "residency"),
				fmt.Sprintf("no region of the residency has a group of model %q", name), "")
		}
	}
}

func (v *validator) isServedIn(m Model, regions []string) bool {
	return slices.ContainsFunc(m.Groups, func(group string) bool {
		return slices.ContainsFunc(v.in.Groups[group].Regions, func(r string) bool {
			return slices.Contains(regions, r)
		})
	})
}
