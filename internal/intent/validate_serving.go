package intent

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// callMethods lists the HTTP methods that a call may use.
var callMethods = []string{
	http.MethodGet,
	http.MethodHead,
	http.MethodPost,
	http.MethodPut,
	http.MethodPatch,
	http.MethodDelete,
}

// autoRetriedMethods lists the methods that net/http retries by itself when a
// pooled connection turns out to be closed, and that caches and other
// intermediaries consider safe to retry.
var autoRetriedMethods = []string{http.MethodGet, http.MethodHead}

// groupKinds holds the valid kinds of a group.
var groupKinds = map[string]bool{string(KindEngine): true, string(KindService): true}

func (v *validator) validateGroups() {
	for _, name := range sortedKeys(v.in.Groups) {
		g := v.in.Groups[name]
		path := v.paths.field("groups", name)
		v.validateName(entryNamePattern, path, name, wantEntryName)
		kindPath := v.paths.field(path, "kind")
		if g.Kind == "" {
			v.reportFault(kindPath, "no kind is set", "engine or service")
		} else {
			validateReference(v, kindPath, "kind", string(g.Kind), groupKinds)
		}
		v.validateRegionList(v.paths.field(path, "regions"), g.Regions)
		if g.Kind == KindService && g.CostPerMillionTokens != 0 {
			v.reportFault(v.paths.field(path, "cost_per_million_tokens"), "a service group has no tokens", "no such field here")
		}
	}
	if _, ok := v.in.Groups["gateway"]; ok {
		v.reportFault("groups.gateway", "the name is reserved for the gateways themselves", "another name")
	}
}

func (v *validator) validateRegionList(path string, regions []string) {
	if len(regions) == 0 {
		v.reportFault(path, "no region is listed", "at least one region")
	}
	for i, r := range regions {
		validateReference(v, v.paths.item(path, i), "region", r, v.in.Regions)
	}
	v.rejectDuplicates(path, regions)
}

// validateGroupReference adds a fault unless the group is declared and of the
// given kind.
func (v *validator) validateGroupReference(path, name string, kind GroupKind) {
	if !validateReference(v, path, "group", name, v.in.Groups) {
		return
	}
	if got := v.in.Groups[name].Kind; got != kind && groupKinds[string(got)] {
		v.reportFault(path, fmt.Sprintf("group %q is of kind %s", name, got), fmt.Sprintf("a group of kind %s", kind))
	}
}

func (v *validator) validateModels() {
	for _, name := range sortedKeys(v.in.Models) {
		m := v.in.Models[name]
		path := v.paths.field("models", name)
		v.validateName(modelNamePattern, path, name, wantModelName)
		groupsPath := v.paths.field(path, "groups")
		if len(m.Groups) == 0 {
			v.reportFault(groupsPath, "no group is listed", "at least one group of kind engine")
		}
		for i, g := range m.Groups {
			v.validateGroupReference(v.paths.item(groupsPath, i), g, KindEngine)
		}
		v.rejectDuplicates(groupsPath, m.Groups)
		v.requireTokenLimit(v.paths.field(path, "max_prompt_tokens"), m.MaxPromptTokens)
		v.requireTokenLimit(v.paths.field(path, "max_output_tokens"), m.MaxOutputTokens)
	}
}

func (v *validator) requireTokenLimit(path string, limit int) {
	if limit == 0 {
		v.reportFault(path, "is missing", "a limit in tokens")
	}
}

func (v *validator) validateServices() {
	for _, name := range sortedKeys(v.in.Services) {
		s := v.in.Services[name]
		path := v.paths.field("services", name)
		v.validateName(entryNamePattern, path, name, wantEntryName)
		groupPath := v.paths.field(path, "group")
		if s.Group == "" {
			v.reportFault(groupPath, "is missing", "a group of kind service")
		} else {
			v.validateGroupReference(groupPath, s.Group, KindService)
		}
		v.validateCalls(v.paths.field(path, "calls"), s.Calls)
	}
}

func (v *validator) validateCalls(path string, calls map[string]Call) {
	if len(calls) == 0 {
		v.reportFault(path, "no call is declared", "at least one call")
	}
	routes := make(map[string]string, len(calls))
	for _, name := range sortedKeys(calls) {
		c := calls[name]
		callPath := v.paths.field(path, name)
		v.validateName(entryNamePattern, callPath, name, wantEntryName)
		v.validateCall(callPath, c)
		route := c.Method + " " + c.Path
		if first, ok := routes[route]; ok && c.Path != "" {
			v.reportFault(v.paths.field(callPath, "path"),
				fmt.Sprintf("the same method and path as call %q", first), "one call for each method and path")
		}
		routes[route] = name
	}
}

func (v *validator) validateCall(path string, c Call) {
	methodPath := v.paths.field(path, "method")
	if !slices.Contains(callMethods, c.Method) {
		v.reportFault(methodPath, fmt.Sprintf("unknown method %q", truncate(c.Method)), suggestOneOf(c.Method, callMethods))
	}
	if !c.Idempotent && slices.Contains(autoRetriedMethods, c.Method) {
		v.reportFault(methodPath, c.Method+" may be sent twice by any program on the way, but the call is not repeatable",
			"method POST, or repeatable: true")
	}
	routePath := v.paths.field(path, "path")
	if !isValidCallPath(c.Path) {
		v.reportFault(routePath, fmt.Sprintf("%q is not a plain absolute path", truncate(c.Path)), "a path such as /bookings/confirm")
	}
}

// maxCallPathBytes is the maximum length of a call's path.
const maxCallPathBytes = 512

// isValidCallPath reports whether p is an absolute path that every HTTP
// implementation reads alike: without dot segments, empty segments, escapes or
// a query.
func isValidCallPath(p string) bool {
	if !strings.HasPrefix(p, "/") || len(p) > maxCallPathBytes {
		return false
	}
	for _, c := range p {
		if c <= ' ' || c > '~' || strings.ContainsRune(`?#%\{}`, c) {
			return false
		}
	}
	segments := strings.Split(p[1:], "/")
	if p == "/" {
		return true
	}
	return !slices.ContainsFunc(segments, func(s string) bool { return s == "" || s == "." || s == ".." })
}
