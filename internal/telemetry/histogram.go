package telemetry

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of latency histograms.
const (
	histogramMin    = int64(1)
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 2
)

// Histogram counts durations, in microseconds.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Quantiles sums up a histogram; durations are in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

var histograms sync.Map

// NewHistogram makes a histogram and publishes it by expvar under
// "hickorystage.<name>". Asked twice for one name, it returns the same one.
func NewHistogram(name string) *Histogram {
	fresh := &Histogram{h: hdrhistogram.New(histogramMin, histogramMax, histogramDigits)}
	got, loaded := histograms.LoadOrStore(name, fresh)
	h := got.(*Histogram)
	if !loaded {
		expvar.Publish("hickorystage."+name, h)
	}
	return h
}

// Observe counts one duration.
func (h *Histogram) Observe(d time.Duration) {
	us := min(max(d.Microseconds(), histogramMin), histogramMax)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(us)
}

// Quantiles returns the summary.
func (h *Histogram) Quantiles() Quantiles {
	h.mu.Lock()
	defer h.mu.Unlock()
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{
		Count: h.h.TotalCount(),
		P50:   ms(h.h.ValueAtQuantile(50)),
		P95:   ms(h.h.ValueAtQuantile(95)),
		P99:   ms(h.h.ValueAtQuantile(99)),
		Max:   ms(h.h.Max()),
	}
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	b, err := json.Marshal(h.Quantiles())
	if err != nil {
		return "{}"
	}
	return string(b)
}
