package intent

import (
	"fmt"
	"slices"
	"strings"
)

// Severity tells faults, which make a configuration invalid, from warnings.
type Severity string

// The severities.
const (
	Fault   Severity = "fault"
	Warning Severity = "warning"
)

// Position is a place in an operator's file. Line and Column count from 1 and
// are 0 when the place is the whole file.
type Position struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// String returns file:line:column, as compilers write it.
func (p Position) String() string {
	switch {
	case p.File == "":
		return "(folder)"
	case p.Line == 0:
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Diagnostic is one finding of Parse.
type Diagnostic struct {
	Severity Severity `json:"severity"`
	Position
	// Path leads to the field, such as customers.depot-3.home.
	Path string `json:"path,omitempty"`
	// Problem says what is wrong.
	Problem string `json:"problem"`
	// Want says what would be right.
	Want string `json:"want,omitempty"`
}

// String returns the finding on one line.
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

// Diagnostics lists every finding of one Parse, ordered by place.
type Diagnostics []Diagnostic

// HasFaults tells whether any finding is a fault.
func (ds Diagnostics) HasFaults() bool {
	return slices.ContainsFunc(ds, func(d Diagnostic) bool { return d.Severity == Fault })
}

// WithSeverity returns the findings of one severity.
func (ds Diagnostics) WithSeverity(s Severity) Diagnostics {
	var out Diagnostics
	for _, d := range ds {
		if d.Severity == s {
			out = append(out, d)
		}
	}
	return out
}

// String returns one line for each finding.
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
