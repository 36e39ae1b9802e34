package intent

import (
	"fmt"
	"slices"
	"strings"
)

// Severity distinguishes faults, which make a configuration invalid, from warnings.
type Severity string

// Severities of a Diagnostic.
const (
	Fault   Severity = "fault"
	Warning Severity = "warning"
)

// Position is a position in a configuration file. Line and Column start at 1 and
// are 0 when the position is the whole file. File is empty when the position is
// the whole folder.
type Position struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// String returns the position as file:line:column, in the format of compilers.
func (p Position) String() string {
	switch {
	case p.File == "":
		return "(folder)"
	case p.Line == 0:
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Diagnostic is one fault or warning that Parse reports.
type Diagnostic struct {
	Severity Severity `json:"severity"`
	Position
	// Path is the path of the field, such as customers.depot-3.home.
	Path string `json:"path,omitempty"`
	// Problem describes what is wrong.
	Problem string `json:"problem"`
	// Want describes what would be valid. It may be empty.
	Want string `json:"want,omitempty"`
}

// String returns the diagnostic as one line of text.
func (d Diagnostic) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s: ", d.Position, d.Severity)
	if d.Path != "" {
		fmt.Fprintf(&b, "%s: ", d.Path)
	}
	b.WriteString(d.Problem)
	if d.Want != "" {
		fmt.Fprintf(&b, "; want %s", d.Want)
	}
	return b.String()
}

// Diagnostics lists all diagnostics of one call of Parse, ordered by position.
type Diagnostics []Diagnostic

// HasFaults reports whether any diagnostic is a fault.
func (ds Diagnostics) HasFaults() bool {
	return slices.ContainsFunc(ds, func(d Diagnostic) bool { return d.Severity == Fault })
}

// WithSeverity returns the diagnostics of severity s.
func (ds Diagnostics) WithSeverity(s Severity) Diagnostics {
	var out Diagnostics
	for _, d := range ds {
		if d.Severity == s {
			out = append(out, d)
		}
	}
	return out
}

// String returns one line of text per diagnostic.
func (ds Diagnostics) String() string {
	lines := make([]string, len(ds))
	for i, d := range ds {
		lines[i] = d.String()
	}
	return strings.Join(lines, "\n")
}

func (ds Diagnostics) sort() {
	slices.SortStableFunc(ds, func(a, b Diagnostic) int {
		if c := strings.Compare(a.File, b.File); c != 0 {
			return c
		}
		if c := a.Line - b.Line; c != 0 {
			return c
		}
		return a.Column - b.Column
	})
}
