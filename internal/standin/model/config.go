// Package model simulates an LLM inference engine in virtual time: continuous
// batching with chunked prefill, a prefix cache of limited memory, priorities,
// delayed load reports, and cache events that are delayed and partly lost. It
// does no I/O, reads no clock, and gives the same result for the same seed and
// calls. It is not safe for concurrent use.
package model

import "time"

// BlockTokens is the number of tokens in a block of the KV cache.
const BlockTokens = 64

// Config holds the parameters of an engine.
type Config struct {
	// StepBase is the fixed part of the duration of one batch step.
	StepBase time.Duration
	// StepPerSequence is what each decoding sequence adds to a step.
	StepPerSequence time.Duration
	// PrefillRate is the speed of prefill in prompt tokens per second; a step
	// takes longer by the time for the prompt tokens computed in it.
	PrefillRate float64
	// ChunkTokens limits the prompt tokens computed in one step.
	ChunkTokens int
	// MaxBatch limits the sequences in the batch.
	MaxBatch int
	// Blocks is the size of the KV cache in blocks. Running sequences and the
	// prefix cache share it.
	Blocks int
	// ReportInterval is the time between load reports; ReportLag is the delay
	// until a report can be read.
	ReportInterval time.Duration
	ReportLag      time.Duration
	// EventLag is the delay until a cache event can be read; EventLoss is the
	// share of events that are lost, 0 to 1.
	EventLag  time.Duration
	EventLoss float64
	// Seed determines which cache events are lost.
	Seed uint64
}

// DefaultConfig returns an engine configuration of the size that the experiments
// use.
func DefaultConfig() Config {
	return Config{
		StepBase:        16 * time.Millisecond,
		StepPerSequence: 500 * time.Microsecond,
		PrefillRate:     16000,
		ChunkTokens:     512,
		MaxBatch:        48,
		Blocks:          6000,
		ReportInterval:  250 * time.Millisecond,
		ReportLag:       250 * time.Millisecond,
		EventLag:        time.Second,
		EventLoss:       0.02,
		Seed:            1,
	}
}

// Job is one request to an engine. Jobs with a higher Priority run first.
type Job struct {
	ID           string
	Priority     int
	PromptTokens int
	OutputTokens int
	// Prefix holds the hashes of the full blocks of the prompt. Each hash covers
	// the block and all blocks before it.
	Prefix []uint64
	// FirstSeq is the sequence number of the first token to emit, above zero for
	// a resumed response.
	FirstSeq int
}

type EventKind int

// The kinds of events.
const (
	// Token reports one token of a response.
	Token EventKind = iota
	// Finished follows the last token.
	Finished
	// Rejected reports that the job needs more memory than the engine has.
	Rejected
)

// Event reports the progress of a job.
type Event struct {
	Kind EventKind
	At   time.Time
	Job  string
	// Seq is the sequence number of the token in the response.
	Seq int
	// First is true for the first token that this engine emits for the job.
	First bool
	// CachedTokens is the number of prompt tokens that were found in the prefix
	// cache.
	CachedTokens int
}
