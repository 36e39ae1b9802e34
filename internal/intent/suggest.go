package intent

import (
	"slices"
	"strings"
)

// nearestName returns the candidate with the smallest edit distance to name, or
// "" if none is close enough to be the likely intention.
func nearestName(name string, candidates []string) string {
	best := ""
	limit := max(2, len(name)/3) + 1
	for _, c := range candidates {
		if d := editDistance(strings.ToLower(name), strings.ToLower(c), limit); d < limit {
			best, limit = c, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of a and b in bytes, or limit if
// their lengths differ by limit or more.
func editDistance(a, b string, limit int) int {
	if len(a)-len(b) >= limit || len(b)-len(a) >= limit {
		return limit
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := diagonal
			if a[i-1] != b[j-1] {
				cost++
			}
			diagonal = row[j]
			row[j] = min(cost, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}

// maxListedNames is the maximum number of valid names that a diagnostic lists.
const maxListedNames = 12

// suggestOneOf returns the valid name nearest to name, quoted, or a list of the
// valid names if none is near.
func suggestOneOf(name string, valid []string) string {
	if s := nearestName(name, valid); s != "" {
		return `"` + s + `"`
	}
	if len(valid) == 0 {
		return "a declared name; none is declared"
	}
	sorted := slices.Sorted(slices.Values(valid))
	if len(sorted) > maxListedNames {
		return "one of " + strings.Join(sorted[:maxListedNames], ", ") + ", ..."
	}
	return "one of " + strings.Join(sorted, ", ")
}
