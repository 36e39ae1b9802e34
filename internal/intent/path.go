package intent

import "strconv"

// pathBuilder builds the paths that findings show. Most configurations have no
// finding, so Parse first runs with noPaths, which costs nothing, and only
// builds them when there is something to report.
type pathBuilder bool

const (
	pathsOff  pathBuilder = false
	pathsOn pathBuilder = true
)

// field adds a field to a path.
func (p pathBuilder) field(path, field string) string {
	if !p {
		return ""
	}
	return joinPath(path, field)
}

// item adds a list index to a path.
func (p pathBuilder) item(path string, i int) string {
	if !p {
		return ""
	}
	return path + "[" + strconv.Itoa(i) + "]"
}

// joinPath adds a field to a path. Names with other characters than letters,
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
