// Package load drives streams of chat completions against an engine directly
// and through a gateway, in turns within one run, and reports what the gateway
// adds. It needs the stand-in engine, whose chunks carry the time of their
// sending, on the same machine.
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
	// GatewayURL is the gateway's base URL and Direct the engine's.
	GatewayURL string
	EngineURL  string
	// Key is the caller's key at the gateway.
	Key   string
	Model string
	// Streams are held open at once, each of Tokens tokens, for Duration on
	// each side.
	Streams  int
	Tokens   int
	Duration time.Duration
	// Plain asks for answers as one document, without a pause between
	// requests, and counts requests.
	Plain bool
	// Rounds is the number of turns of each side.
	Rounds int
	// GatewayPID is the gateway's process, whose time and memory are reported; 0
	// leaves them out.
	GatewayPID int
}

// PathStats is what was measured on one side.
type PathStats struct {
	mu sync.Mutex
	// FirstByte is from the sending of a request to its first chunk; Chunk is
	// from the sending of a chunk by the engine to its arrival. Microseconds.
	FirstByte    *hdrhistogram.Histogram
	ChunkLatency *hdrhistogram.Histogram
	Responses    int
	Failed       int
	ChunkCount   int
	Duration     time.Duration
	// CPUTime is the processor time of the gateway's process, and Resident its
	// memory at the end of the turn, in bytes.
	CPUTime       time.Duration
	ResidentBytes int64
}

// Result is what a run measured.
type Result struct {
	Direct, Gateway *PathStats
	// IdleResidentBytes is the gateway's memory before the run, in bytes.
	IdleResidentBytes int64
}

func newPathStats() *PathStats {
	return &PathStats{
		FirstByte:    hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
		ChunkLatency: hdrhistogram.New(1, histogramMaxMicros, histogramDigits),
	}
}

// Run takes turns on both sides until each has had its rounds.
func Run(ctx context.Context, c Config) (*Result, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	res := &Result{Direct: newPathStats(), Gateway: newPathStats()}
	if c.GatewayPID != 0 {
		use, err := readProcessStats(c.GatewayPID)
		if err != nil {
			return nil, err
		}
		res.IdleResidentBytes = use.residentBytes
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

// runGatewayPhase is a turn at the gateway with the use of its process.
func (c Config) runGatewayPhase(ctx context.Context, s *PathStats) error {
	if c.GatewayPID == 0 {
		return c.runPhase(ctx, s, c.GatewayURL, c.Key)
	}
	before, err := readProcessStats(c.GatewayPID)
	if err != nil {
		return err
	}
	sampled := make(chan processStats, 1)
	time.AfterFunc(c.Duration/2, func() {
		middle, _ := readProcessStats(c.GatewayPID)
		sampled <- middle
	})
	if err := c.runPhase(ctx, s, c.GatewayURL, c.Key); err != nil {
		return err
	}
	after, err := readProcessStats(c.GatewayPID)
	s.CPUTime += after.cpuTime - before.cpuTime
	s.ResidentBytes = max(s.ResidentBytes, (<-sampled).residentBytes)
	return err
}

// runPhase holds the streams open on one side for the duration.
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

// run sends one request after another until end.
func (cl *client) run(ctx context.Context, s *PathStats, end time.Time, caller int) error {
	for n := 0; time.Now().Before(end); n++ {
		one, err := cl.complete(ctx, caller, n)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s.add(one, err)
		if err != nil {
			time.Sleep(failureDelay)
		}
	}
	return nil
}

// failureDelay follows a failed request.
const failureDelay = 100 * time.Millisecond

func (s *PathStats) add(one sample, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.Failed++
		return
	}
	s.Responses++
	s.ChunkCount += len(one.chunkLatencies)
	_ = s.FirstByte.RecordValue(max(one.firstByte.Microseconds(), 1))
	for _, d := range one.chunkLatencies {
		_ = s.ChunkLatency.RecordValue(max(d.Microseconds(), 1))
	}
}
