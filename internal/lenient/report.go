package lenient

// Limits of a Report: its size is a small part of a datagram.
const (
	maxReported      = 4
	maxReportedBytes = 160
)

// Report tells the sender of a message which parts of it can't be read.
type Report struct {
	// Problems describes the first of them, Count is their number.
	Problems []string `json:"problems"`
	Count    int      `json:"count"`
}

// NewReport returns the report of the problems.
func NewReport(problems []Problem) *Report {
	r := &Report{Count: len(problems)}
	for _, p := range problems[:min(len(problems), maxReported)] {
		text := p.String()
		r.Problems = append(r.Problems, text[:min(len(text), maxReportedBytes)])
	}
	return r
}
