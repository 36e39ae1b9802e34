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
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Config describes a run.
type Config struct {
	// Target is the gateway's base URL and Direct the engine's.
	Target string
	Direct string
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
	// PID is the gateway's process, whose time and memory are reported; 0
	// leaves them out.
	PID int
}

// Side is what was measured on one side.
type Side struct {
	mu sync.Mutex
	// FirstByte is from the sending of a request to its first chunk; Chunk is
	// from the sending of a chunk by the engine to its arrival. Microseconds.
	FirstByte *hdrhistogram.Histogram
	Chunk     *hdrhistogram.Histogram
	Answers   int
	Failed    int
	Chunks    int
	Duration  time.Duration
	// Used is the processor time of the gateway's process, and Resident its
	// memory at the end of the turn, in bytes.
	Used     time.Duration
	Resident int64
}

// Result is what a run measured.
type Result struct {
	Direct, Target *Side
	// IdleResident is the gateway's memory before the run, in bytes.
	IdleResident int64
}

func newSide() *Side {
	return &Side{
		FirstByte: hdrhistogram.New(1, histogramMax, histogramDigits),
		Chunk:     hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

// Run takes turns on both sides until each has had its rounds.
func Run(ctx context.Context, c Config) (*Result, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	res := &Result{Direct: newSide(), Target: newSide()}
	if c.PID != 0 {
		use, err := processUse(c.PID)
		if err != nil {
			return nil, err
		}
		res.IdleResident = use.resident
	}
	for range c.Rounds {
		if err := c.turn(ctx, res.Direct, c.Direct, ""); err != nil {
			return nil, err
		}
		if err := c.measured(ctx, res.Target); err != nil {
			return nil, err
		}
	}
	return res, nil
}

// measured is a turn at the gateway with the use of its process.
func (c Config) measured(ctx context.Context, s *Side) error {
	if c.PID == 0 {
		return c.turn(ctx, s, c.Target, c.Key)
	}
	before, err := processUse(c.PID)
	if err != nil {
		return err
	}
	sampled := make(chan use, 1)
	time.AfterFunc(c.Duration/2, func() {
		middle, _ := processUse(c.PID)
		sampled <- middle
	})
	if err := c.turn(ctx, s, c.Target, c.Key); err != nil {
		return err
	}
	after, err := processUse(c.PID)
	s.Used += after.processor - before.processor
	s.Resident = max(s.Resident, (<-sampled).resident)
	return err
}

// turn holds the streams open on one side for the duration.
func (c Config) turn(ctx context.Context, s *Side, base, key string) error {
	client := newClient(c, base, key)
	defer client.close()
	start := time.Now()
	end := start.Add(c.Duration)
	g, ctx := errgroup.WithContext(ctx)
	for i := range c.Streams {
		offset := c.Duration / 4 * time.Duration(i) / time.Duration(c.Streams)
		g.Go(func() error {
			time.Sleep(offset)
			return client.drive(ctx, s, end, i)
		})
	}
	err := g.Wait()
	s.Duration += time.Since(start)
	return err
}

// drive sends one request after another until end.
func (cl *client) drive(ctx context.Context, s *Side, end time.Time, caller int) error {
	for n := 0; time.Now().Before(end); n++ {
		one, err := cl.ask(ctx, caller, n)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s.add(one, err)
		if err != nil {
			time.Sleep(failurePause)
		}
	}
	return nil
}

// failurePause follows a failed request.
const failurePause = 100 * time.Millisecond

func (s *Side) add(one sample, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.Failed++
		return
	}
	s.Answers++
	s.Chunks += len(one.chunks)
	_ = s.FirstByte.RecordValue(max(one.firstByte.Microseconds(), 1))
	for _, d := range one.chunks {
		_ = s.Chunk.RecordValue(max(d.Microseconds(), 1))
	}
}
