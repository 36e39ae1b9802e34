package intent

import "strconv"

// pathBuilder builds the field paths of diagnostics. Most configurations have no
// diagnostics, so Parse first runs with pathsOff, which allocates nothing, and
// parses again with pathsOn only if there is something to report.
type pathBuilder bool

const (
	pathsOff pathBuilder = false
	pathsOn  pathBuilder = true
)

// field appends a field name to path.
func (p pathBuilder) field(path, field string) string {
	if !p {
		return ""
	}
	return joinPath(path, field)
}

// item appends a list index to path.
func (p pathBuilder) item(path string, i int) string {
	if !p {
		return ""
	}
	return path + "[" + strconv.Itoa(i) + "]"
}

// joinPath appends a field name to path. Names with characters other than letters,
// digits, '_', '-' and '*' are quoted.
func joinPath(path, field string) string {
	switch {
	case !isPlainName(field):
		return path + "[" + strconv.Quote(field) + "]"
	case path == "":
		return field
	}
	return path + "." + field
}

func isPlainName(name string) bool {
	for i := range len(name) {
		c := name[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && !(c >= '0' && c <= '9') && c != '_' && c != '-' && c != '*' {
			return false
		}
	}
	return name != ""
}
