package intent

import (
	"encoding/json"
	"slices"
)

// FieldChange is one value that differs between two configurations. Old is empty
// for an added field, New for a removed one.
type FieldChange struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Diff lists the values that differ between two configurations, ordered by path.
// A nil Intent counts as an empty configuration. Values are encoded as JSON,
// after the merge and with defaults applied.
func Diff(from, to *Intent) ([]FieldChange, error) {
	old, err := flatten(from)
	if err != nil {
		return nil, err
	}
	now, err := flatten(to)
	if err != nil {
		return nil, err
	}
	var changes []FieldChange
	for path, v := range old {
		if now[path] != v {
			changes = append(changes, FieldChange{Path: path, Old: v, New: now[path]})
		}
	}
	for path, v := range now {
		if _, ok := old[path]; !ok {
			changes = append(changes, FieldChange{Path: path, New: v})
		}
	}
	slices.SortFunc(changes, func(a, b FieldChange) int {
		if a.Path < b.Path {
			return -1
		}
		return 1
	})
	return changes, nil
}

// flatten maps the path of each value to its JSON. A list counts as one value.
func flatten(in *Intent) (map[string]string, error) {
	values := make(map[string]string)
	if in == nil {
		return values, nil
	}
	b, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	var root map[string]any
	if err := json.Unmarshal(b, &root); err != nil {
		return nil, err
	}
	flattenInto(values, "", root)
	return values, nil
}

func flattenInto(values map[string]string, path string, m map[string]any) {
	for key, v := range m {
		p := joinPath(path, key)
		if inner, ok := v.(map[string]any); ok {
			flattenInto(values, p, inner)
			continue
		}
		b, err := json.Marshal(v)
		if err != nil {
			// Unreachable: v was decoded from JSON.
			panic(err)
		}
		values[p] = string(b)
	}
}
