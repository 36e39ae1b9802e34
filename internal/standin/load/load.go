// Package load is a load generator that measures the overhead of a gateway. It
// sends chat completions to an engine directly and through the gateway, in
// alternating phases of one run, and reports the difference. It needs the
// stand-in engine, whose chunks carry their send time, on the same machine.
package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

// Limits of a run.
const (
	MaxStreams  = 2000
	MaxDuration = 2 * time.Minute
)

// Range and precision of the histograms, in microseconds.
const (
	histogramMaxMicros = int64(time.Minute / time.Microsecond)
	histogramDigits    = 3
)

// Config describes a run.
type Config struct {
	// GatewayURL and EngineURL are the base URLs of the gateway and the engine.
	GatewayURL string
	EngineURL  string
	// Key is the customer's API key at the gateway.
	Key   string
	Model string
	// Streams is the number of concurrent requests, Tokens the length of each
	// response and Duration the length of a phase.
	Streams  int
	Tokens   int
	Duration time.Duration
	// Plain requests responses as a single document instead of streams, one
	// right after another, to measure the request rate.
	Plain bool
	// Rounds is the number of phases on each path.
	Rounds int
	// GatewayPID is the gateway's process, whose CPU time and memory are
	// reported; 0 leaves them out.
	GatewayPID int
}

// PathStats holds the measurements of one path, direct or through the gateway.
type PathStats struct {
	mu sync.Mutex
	// FirstByte is the time from sending a request to its first chunk, or to
	// the end of a plain response. ChunkLatency is the time from the engine's
	// sending of a chunk to its arrival. Both are in microseconds.
	FirstByte    *hdrhistogram.Histogram
	ChunkLatency *hdrhistogram.Histogram
	Responses    int
	Failed       int
	ChunkCount   int
	Duration     time.Duration
	// CPUTime is the CPU time that the gateway's process used, and
	// ResidentBytes the largest memory it had halfway through a phase.
	CPUTime       time.Duration
	ResidentBytes int64
}

// Result holds the measurements of a run.
type Result struct {
	Direct, Gateway *PathStats
	// IdleResidentBytes is the gateway's memory before the run.
	IdleResidentBytes int64
}

func newPathStats() *PathStats {
	return &PathStats{
		FirstByte:    hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		ChunkLatency: hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
	}
}

// Run alternates phases on the direct path and through the gateway until each
// has had c.Rounds of them. Failed requests are counted in the result.
func Run(ctx context.Context, c Config) (*Result, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	res := &Result{Direct: newPathStats(), Gateway: newPathStats()}
	if c.GatewayPID != 0 {
		stats, err := readProcessStats(c.GatewayPID)
		if err != nil {
			return nil, err
		}
		res.IdleResidentBytes = stats.residentBytes
	}
	for range c.Rounds {
		if err := c.runPhase(ctx, res.Direct, c.EngineURL, ""); err != nil {
			return nil, err
		}
		if err := c.runGatewayPhase(ctx, res.Gateway); err != nil {
			return nil, err
		}
	}
	return res, nil
}

// runGatewayPhase runs a phase through the gateway and adds the CPU time and
// memory of its process to s. Memory is sampled halfway through, under load.
func (c Config) runGatewayPhase(ctx context.Context, s *PathStats) error {
	if c.GatewayPID == 0 {
		return c.runPhase(ctx, s, c.GatewayURL, c.Key)
	}
	before, err := readProcessStats(c.GatewayPID)
	if err != nil {
		return err
	}
	halfway := make(chan processStats, 1)
	time.AfterFunc(c.Duration/2, func() {
		stats, _ := readProcessStats(c.GatewayPID)
		halfway <- stats
	})
	if err := c.runPhase(ctx, s, c.GatewayURL, c.Key); err != nil {
		return err
	}
	after, err := readProcessStats(c.GatewayPID)
	s.CPUTime += after.cpuTime - before.cpuTime
	s.ResidentBytes = max(s.ResidentBytes, (<-halfway).residentBytes)
	return err
}

// runPhase keeps c.Streams requests in flight on one path for c.Duration. Their
// starts are spread over the first quarter.
func (c Config) runPhase(ctx context.Context, s *PathStats, base, key string) error {
	client := newClient(c, base, key)
	defer client.close()
	start := time.Now()
	end := start.Add(c.Duration)
	g, ctx := errgroup.WithContext(ctx)
	for i := range c.Streams {
		offset := c.Duration / 4 * time.Duration(i) / time.Duration(c.Streams)
		g.Go(func() error {
			time.Sleep(offset)
			return client.run(ctx, s, end, i)
		})
	}
	err := g.Wait()
	s.Duration += time.Since(start)
	return err
}

// run sends one request after another until end. Only the end of ctx is an
// error; failed requests are counted in s.
func (cl *client) run(ctx context.Context, s *PathStats, end time.Time, caller int) error {
	for n := 0; time.Now().Before(end); n++ {
		result, err := cl.complete(ctx, caller, n)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s.add(result, err)
		if err != nil {
			time.Sleep(failureDelay)
		}
	}
	return nil
}

// failureDelay is the pause after a failed request.
const failureDelay = 100 * time.Millisecond

func (s *PathStats) add(result sample, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.Failed++
		return
	}
	s.Responses++
	s.ChunkCount += len(result.chunkLatencies)
	_ = s.FirstByte.RecordValue(max(result.firstByte.Microseconds(), 1))
	for _, d := range result.chunkLatencies {
		_ = s.ChunkLatency.RecordValue(max(d.Microseconds(), 1))
	}
}
