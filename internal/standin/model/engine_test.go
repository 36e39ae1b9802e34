package model_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorystage/hickorystage/internal/standin/model"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// runUntilIdle advances e until it is idle and returns its events.
func runUntilIdle(e *model.Engine) []model.Event {
	var events []model.Event
	for {
		at, busy := e.Next()
		if !busy {
			return events
		}
		events = append(events, e.Advance(at)...)
	}
}

// prefix returns n block hashes that depend on the length and first letter of
// name.
func prefix(name string, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(len(name))<<32 + uint64(name[0])<<16 + uint64(i) + 1
	}
	return out
}

// firstTokenTimes returns the time of the first token of each job.
func firstTokenTimes(events []model.Event) map[string]time.Time {
	out := make(map[string]time.Time)
	for _, ev := range events {
		if ev.Kind == model.Token && ev.First {
			out[ev.Job] = ev.At
		}
	}
	return out
}

func TestCachedPrefixShortensPrefill(t *testing.T) {
	e := model.New(model.DefaultConfig(), start)
	job := model.Job{ID: "a", PromptTokens: 6400, OutputTokens: 2, Prefix: prefix("x", 100)}
	e.Submit(start, job)
	cold := firstTokenTimes(runUntilIdle(e))["a"].Sub(start)
	later := start.Add(time.Minute)
	e.Advance(later)
	job.ID = "b"
	e.Submit(later, job)
	warm := firstTokenTimes(runUntilIdle(e))["b"].Sub(later)
	require.Less(t, warm*5, cold)
}

func TestHigherPriorityJobPrefillsFirst(t *testing.T) {
	cfg := model.DefaultConfig()
	cfg.MaxBatch = 1
	e := model.New(cfg, start)
	for i, p := range []int{0, 0, 9} {
		e.Submit(start, model.Job{ID: fmt.Sprint(i), Priority: p, PromptTokens: 100, OutputTokens: 4})
	}
	firstTokenAt := firstTokenTimes(runUntilIdle(e))
	require.True(t, firstTokenAt["2"].Before(firstTokenAt["1"]))
}

func TestLoadReportIsDelayed(t *testing.T) {
	cfg := model.DefaultConfig()
	e := model.New(cfg, start)
	e.Advance(start.Add(time.Second))
	at := start.Add(time.Second)
	e.Submit(at, model.Job{ID: "a", PromptTokens: 100000, OutputTokens: 4})
	e.Advance(at.Add(100 * time.Millisecond))
	require.Zero(t, e.Report(at.Add(100*time.Millisecond)).Running)
	e.Advance(at.Add(600 * time.Millisecond))
	require.Equal(t, 1, e.Report(at.Add(600*time.Millisecond)).Running)
}

// Every job gets all its tokens in order, and a second run with the same seed and
// jobs gives the same events.
func TestEveryJobFinishesDeterministically(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs := rapid.SliceOfN(rapid.Custom(drawJob), 1, 60).Draw(t, "jobs")
		cfg := model.DefaultConfig()
		cfg.MaxBatch = rapid.IntRange(1, 8).Draw(t, "batch")
		cfg.Blocks = 400
		first, second := simulate(cfg, jobs), simulate(cfg, jobs)
		require.Equal(t, first, second)
		tokens := make(map[string]int)
		finished := 0
		for _, ev := range first {
			switch ev.Kind {
			case model.Token:
				require.Equal(t, tokens[ev.Job], ev.Seq)
				tokens[ev.Job]++
			case model.Finished:
				finished++
			}
		}
		require.Equal(t, len(jobs), finished)
		for i, j := range jobs {
			require.Equal(t, j.OutputTokens, tokens[fmt.Sprint(i)])
		}
	})
}

func drawJob(t *rapid.T) model.Job {
	blocks := rapid.IntRange(0, 60).Draw(t, "blocks")
	return model.Job{
		Priority:     rapid.IntRange(0, 3).Draw(t, "priority"),
		PromptTokens: blocks*model.BlockTokens + rapid.IntRange(1, 63).Draw(t, "rest"),
		OutputTokens: rapid.IntRange(1, 50).Draw(t, "output"),
		Prefix:       prefix(rapid.SampledFrom([]string{"a", "bb", "ccc"}).Draw(t, "name"), blocks),
	}
}

// simulate submits the jobs 30 ms apart and returns all events.
func simulate(cfg model.Config, jobs []model.Job) []model.Event {
	e := model.New(cfg, start)
	var events []model.Event
	for i, j := range jobs {
		at := start.Add(time.Duration(i) * 30 * time.Millisecond)
		events = append(events, e.Advance(at)...)
		j.ID = fmt.Sprint(i)
		e.Submit(at, j)
	}
	return append(events, runUntilIdle(e)...)
}
