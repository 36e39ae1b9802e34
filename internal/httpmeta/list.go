package httpmeta

import "strings"

// splitList returns the elements of a comma-separated header value, without
// empty ones.
func splitList(value string) []string {
	var out []string
	for part := range strings.SplitSeq(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
