// Package model is a small model of a model engine in virtual time: continuous
// batching with chunked prefill, a prefix cache of limited memory, priorities,
// load reports that lag and cache events that come late and with gaps. It does
// no I/O, reads no clock, and gives the same result for the same seed and
// calls. It is not safe for concurrent use.
package model

import "time"

// BlockTokens is the number of tokens in a block of the cache.
const BlockTokens = 64

// Config sizes an engine.
type Config struct {
	// StepBase is the fixed time of one step of the batch.
	StepBase time.Duration
	// StepPerSequence is the time that each decoding sequence adds to a step.
	StepPerSequence time.Duration
	// PrefillRate is the prompt tokens a second that prefill adds to a step.
	PrefillRate float64
	// ChunkTokens bounds the prompt tokens of one step.
	ChunkTokens int
	// MaxBatch bounds the sequences in the batch.
	MaxBatch int
	// Blocks is the cache memory, shared by running sequences and the prefix
	// cache.
	Blocks int
	// ReportInterval is the time between load reports; ReportLag is how long one
	// takes to be seen.
	ReportInterval time.Duration
	ReportLag      time.Duration
	// EventLag is how late cache events are published; EventLoss is the share
	// that never is, 0 to 1.
	EventLag  time.Duration
	EventLoss float64
	// Seed fixes the draws.
	Seed uint64
}

// DefaultConfig is an engine of a size that the experiments use.
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

// Job is one request to an engine.
type Job struct {
	ID           string
	Priority     int
	PromptTokens int
	OutputTokens int
	// Prefix holds the hashes of the prompt's whole blocks, each covering
	// everything before it.
	Prefix []uint64
	// FirstSeq is the number of the first token to emit; a resumed answer
	// starts above zero.
	FirstSeq int
}

// EventKind is the kind of an event.
type EventKind int

// The kinds of events.
const (
	// Token is one token of an answer.
	Token EventKind = iota
	// Finished follows the last token.
	Finished
	// Rejected says that the job can never fit the engine.
	Rejected
)

// Event is something that an engine did.
type Event struct {
	Kind EventKind
	At   time.Time
	Job  string
	// Seq is the token's number in the answer.
	Seq int
	// First says that the token is the first of this job here.
	First bool
	// CachedTokens is the part of the prompt that the cache held.
	CachedTokens int
}
