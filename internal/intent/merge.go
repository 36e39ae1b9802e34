package intent

// merger applies files in sequence as RFC 7396 merge patches.
type merger struct {
	paths pathBuilder
	diags Diagnostics
}

// applyPatch returns target with patch applied: mappings are merged, a null removes
// the field, and any other value replaces it. It may modify target and return it;
// it does not modify patch.
func (m *merger) applyPatch(target, patch *node, path string) *node {
	if patch.kind != kindMapping {
		return patch
	}
	if target == nil || target.kind != kindMapping {
		target = newMapping(patch.pos)
	}
	for _, key := range patch.keys {
		m.applyField(target, patch.fields[key], key, m.paths.field(path, key))
	}
	return target
}

func (m *merger) applyField(target, value *node, key, path string) {
	old := target.fields[key]
	if value.kind != kindNull {
		target.set(key, m.applyPatch(old, value, path))
		return
	}
	if old == nil {
		m.diags = append(m.diags, Diagnostic{
			Severity: Warning,
			Position: value.pos,
			Path:     path,
			Problem:  "null removes nothing: no earlier file sets this field",
		})
	}
	target.remove(key)
}
