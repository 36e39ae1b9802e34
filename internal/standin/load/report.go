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
	r.writeLatencyRows(t, "first byte", func(s *PathStats) *hdrhistogram.Histogram { return s.FirstByte })
	if !c.Plain {
		r.writeLatencyRows(t, "chunk", func(s *PathStats) *hdrhistogram.Histogram { return s.ChunkLatency })
	}
	fmt.Fprintf(t, "answers\t%d\t%d\t\t\t\n", r.Direct.Responses, r.Gateway.Responses)
	fmt.Fprintf(t, "failed\t%d\t%d\t\t\t\n", r.Direct.Failed, r.Gateway.Failed)
	fmt.Fprintf(t, "answers/s\t%.0f\t%.0f\t\t%.2f\t\n", r.Direct.responsesPerSecond(), r.Gateway.responsesPerSecond(), r.Gateway.responsesPerSecond()/r.Direct.responsesPerSecond())
	if c.GatewayPID != 0 {
		r.writeProcessRows(t, c)
	}
	return t.Flush()
}

func (r *Result) writeLatencyRows(w io.Writer, name string, of func(*PathStats) *hdrhistogram.Histogram) {
	for _, q := range quantiles {
		direct := float64(of(r.Direct).ValueAtQuantile(q)) / 1000
		target := float64(of(r.Gateway).ValueAtQuantile(q)) / 1000
		fmt.Fprintf(w, "%s p%.0f ms\t%.3f\t%.3f\t%.3f\t%.2f\t\n", name, q, direct, target, target-direct, target/direct)
	}
}

func (s *PathStats) responsesPerSecond() float64 { return float64(s.Responses) / s.Duration.Seconds() }

// writeProcessRows writes the use of the gateway's process.
func (r *Result) writeProcessRows(w io.Writer, c Config) {
	s := r.Gateway
	used := s.CPUTime.Seconds()
	fmt.Fprintf(w, "gateway cores\t\t%.2f\t\t\t\n", used/s.Duration.Seconds())
	fmt.Fprintf(w, "answers/s per core\t\t%.0f\t\t\t\n", float64(s.Responses)/used)
	if s.ChunkCount > 0 {
		fmt.Fprintf(w, "core us per chunk\t\t%.1f\t\t\t\n", used*1e6/float64(s.ChunkCount))
	}
	fmt.Fprintf(w, "memory idle MB\t\t%.1f\t\t\t\n", float64(r.IdleResidentBytes)/1e6)
	fmt.Fprintf(w, "memory loaded MB\t\t%.1f\t\t\t\n", float64(s.ResidentBytes)/1e6)
	fmt.Fprintf(w, "memory per stream kB\t\t%.1f\t\t\t\n", float64(s.ResidentBytes-r.IdleResidentBytes)/1e3/float64(c.Streams))
}
