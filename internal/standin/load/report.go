package load

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// quantiles that the report shows, in percent.
var quantiles = []float64{50, 95, 99}

// Print writes the result as a table. Times are in milliseconds.
func (r *Result) Print(w io.Writer, c Config) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "streams %d\tdirect\tgateway\tadded\tratio\t\n", c.Streams)
	r.rows(t, "first byte", func(s *Side) *hdrhistogram.Histogram { return s.FirstByte })
	if !c.Plain {
		r.rows(t, "chunk", func(s *Side) *hdrhistogram.Histogram { return s.Chunk })
	}
	fmt.Fprintf(t, "answers\t%d\t%d\t\t\t\n", r.Direct.Answers, r.Target.Answers)
	fmt.Fprintf(t, "failed\t%d\t%d\t\t\t\n", r.Direct.Failed, r.Target.Failed)
	fmt.Fprintf(t, "answers/s\t%.0f\t%.0f\t\t%.2f\t\n", r.Direct.rate(), r.Target.rate(), r.Target.rate()/r.Direct.rate())
	if c.PID != 0 {
		r.process(t, c)
	}
	return t.Flush()
}

func (r *Result) rows(w io.Writer, name string, of func(*Side) *hdrhistogram.Histogram) {
	for _, q := range quantiles {
		direct := float64(of(r.Direct).ValueAtQuantile(q)) / 1000
		target := float64(of(r.Target).ValueAtQuantile(q)) / 1000
		fmt.Fprintf(w, "%s p%.0f ms\t%.3f\t%.3f\t%.3f\t%.2f\t\n", name, q, direct, target, target-direct, target/direct)
	}
}

func (s *Side) rate() float64 { return float64(s.Answers) / s.Duration.Seconds() }

// process writes the use of the gateway's process.
func (r *Result) process(w io.Writer, c Config) {
	s := r.Target
	used := s.Used.Seconds()
	fmt.Fprintf(w, "gateway cores\t\t%.2f\t\t\t\n", used/s.Duration.Seconds())
	fmt.Fprintf(w, "answers/s per core\t\t%.0f\t\t\t\n", float64(s.Answers)/used)
	if s.Chunks > 0 {
		fmt.Fprintf(w, "core us per chunk\t\t%.1f\t\t\t\n", used*1e6/float64(s.Chunks))
	}
	fmt.Fprintf(w, "memory idle MB\t\t%.1f\t\t\t\n", float64(r.IdleResident)/1e6)
	fmt.Fprintf(w, "memory loaded MB\t\t%.1f\t\t\t\n", float64(s.Resident)/1e6)
	fmt.Fprintf(w, "memory per stream kB\t\t%.1f\t\t\t\n", float64(s.Resident-r.IdleResident)/1e3/float64(c.Streams))
}
