package engine

import (
	"fmt"
	"sync"
)

// ChunkFaultKind names a fault that can be injected into one chunk of a stream.
type ChunkFaultKind string

// The kinds of chunk faults.
const (
	// ChunkOtherAttempt sends a chunk with the id of an attempt that doesn't
	// exist, and with other text, in place of the chunk.
	ChunkOtherAttempt ChunkFaultKind = "cross"
	// ChunkDuplicate sends the chunk twice.
	ChunkDuplicate ChunkFaultKind = "repeat"
	// ChunkDrop leaves the chunk out.
	ChunkDrop ChunkFaultKind = "drop"
	// ChunkStale first sends a chunk with the id of another attempt, if possible
	// the one that this engine served before, then the chunk itself.
	ChunkStale ChunkFaultKind = "late"
	// ChunkTruncate closes the connection in the middle of the chunk.
	ChunkTruncate ChunkFaultKind = "truncate"
	// ChunkEarlyEOF ends the response body cleanly before the chunk, without the
	// end mark.
	ChunkEarlyEOF ChunkFaultKind = "end"
	// ChunkEarlyDone sends the end mark, data: [DONE], in place of the chunk.
	ChunkEarlyDone ChunkFaultKind = "done"
	// ChunkStall keeps the connection open and sends nothing more until the
	// request is cancelled.
	ChunkStall ChunkFaultKind = "silent"
	// ChunkMalformed sends an event that isn't valid JSON in place of the chunk.
	ChunkMalformed ChunkFaultKind = "garble"
)

var chunkFaultKinds = map[ChunkFaultKind]bool{
	ChunkOtherAttempt: true, ChunkDuplicate: true, ChunkDrop: true, ChunkStale: true, ChunkTruncate: true,
	ChunkEarlyEOF: true, ChunkEarlyDone: true, ChunkStall: true, ChunkMalformed: true,
}

// ChunkFault is one fault to inject.
type ChunkFault struct {
	Kind ChunkFaultKind `json:"kind"`
	// Seq is the number of the chunk to which the fault applies.
	Seq int `json:"seq"`
	// Count is the number of attempts to which it applies; 0 means all.
	Count int `json:"count"`
}

// UnknownChunkFaultError reports a kind that isn't one of the chunk faults.
type UnknownChunkFaultError struct{ Kind ChunkFaultKind }

// Error implements error.
func (e *UnknownChunkFaultError) Error() string { return fmt.Sprintf("unknown chunk fault %q", e.Kind) }

// ChunkFaults is the list of active chunk faults. Its zero value is empty; it is
// safe for concurrent use.
type ChunkFaults struct {
	mu     sync.Mutex
	faults []ChunkFault
}

// Add adds a fault. The error is an *UnknownChunkFaultError.
func (c *ChunkFaults) Add(f ChunkFault) error {
	if !chunkFaultKinds[f.Kind] {
		return &UnknownChunkFaultError{Kind: f.Kind}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, f)
	return nil
}

// Reset removes all faults.
func (c *ChunkFaults) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = nil
}

// consume returns the kind of the first fault that applies to chunk seq and
// counts one use of it. The last use of a counted fault removes it.
func (c *ChunkFaults) consume(seq int) (ChunkFaultKind, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, f := range c.faults {
		if f.Seq != seq {
			continue
		}
		if f.Count == 1 {
			c.faults = append(c.faults[:i], c.faults[i+1:]...)
		} else if f.Count > 1 {
			c.faults[i].Count--
		}
		return f.Kind, true
	}
	return "", false
}
