package telemetry

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of latency histograms. Values outside the range are
// recorded as its nearest bound.
const (
	histogramMinMicros         = int64(1)
	histogramMaxMicros         = int64(10 * time.Minute / time.Microsecond)
	histogramSignificantDigits = 2
)

// Histogram records durations, with microsecond resolution. Its methods may be
// called concurrently.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Quantiles is a summary of a histogram; durations are in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

var histograms sync.Map

// NewHistogram creates a histogram and publishes it by expvar as
// "hickorystage.<name>". If a histogram of that name exists, it returns that
// one.
func NewHistogram(name string) *Histogram {
	created := &Histogram{h: hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramSignificantDigits)}
	published, loaded := histograms.LoadOrStore(name, created)
	h := published.(*Histogram)
	if !loaded {
		expvar.Publish("hickorystage."+name, h)
	}
	return h
}

// Observe records one duration.
func (h *Histogram) Observe(d time.Duration) {
	us := min(max(d.Microseconds(), histogramMinMicros), histogramMaxMicros)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(us)
}

// Quantiles returns a summary of all durations recorded so far.
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
