package engine

import (
	"fmt"
	"sync"
)

// ChunkFaultKind names a fault of one chunk of a stream.
type ChunkFaultKind string

// The faults of chunks.
const (
	// ChunkOtherAttempt sends the chunk under another attempt's id.
	ChunkOtherAttempt ChunkFaultKind = "cross"
	// ChunkDuplicate sends the chunk twice.
	ChunkDuplicate ChunkFaultKind = "repeat"
	// ChunkDrop leaves the chunk out.
	ChunkDrop ChunkFaultKind = "drop"
	// ChunkStale sends a chunk of the attempt before on this engine first.
	ChunkStale ChunkFaultKind = "late"
	// ChunkTruncate closes the connection in the middle of the chunk.
	ChunkTruncate ChunkFaultKind = "truncate"
	// ChunkEarlyEOF ends the answer's body before the chunk, as if it were whole.
	ChunkEarlyEOF ChunkFaultKind = "end"
	// ChunkEarlyDone sends the end mark in place of the chunk.
	ChunkEarlyDone ChunkFaultKind = "done"
	// ChunkStall keeps the connection open and sends nothing more.
	ChunkStall ChunkFaultKind = "silent"
	// ChunkMalformed sends bytes that aren't JSON.
	ChunkMalformed ChunkFaultKind = "garble"
)

var chunkFaultKinds = map[ChunkFaultKind]bool{
	ChunkOtherAttempt: true, ChunkDuplicate: true, ChunkDrop: true, ChunkStale: true, ChunkTruncate: true,
	ChunkEarlyEOF: true, ChunkEarlyDone: true, ChunkStall: true, ChunkMalformed: true,
}

// ChunkFault is one fault to come.
type ChunkFault struct {
	Kind ChunkFaultKind `json:"kind"`
	// Seq is the number of the chunk it befalls.
	Seq int `json:"seq"`
	// Count is the number of attempts it befalls; 0 means every one.
	Count int `json:"count"`
}

// UnknownChunkFaultError says that no chunk fault has this name.
type UnknownChunkFaultError struct{ Kind ChunkFaultKind }

// Error implements error.
func (e *UnknownChunkFaultError) Error() string { return fmt.Sprintf("unknown chunk fault %q", e.Kind) }

// ChunkFaults is the list of chunk faults that are on.
type ChunkFaults struct {
	mu   sync.Mutex
	list []ChunkFault
}

// Add adds a fault.
func (c *ChunkFaults) Add(f ChunkFault) error {
	if !chunkFaultKinds[f.Kind] {
		return &UnknownChunkFaultError{Kind: f.Kind}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, f)
	return nil
}

// Reset removes all faults.
func (c *ChunkFaults) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = nil
}

// take returns the fault of chunk seq, and uses up one of its count.
func (c *ChunkFaults) take(seq int) (ChunkFaultKind, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, f := range c.list {
		if f.Seq != seq {
			continue
		}
		if f.Count == 1 {
			c.list = append(c.list[:i], c.list[i+1:]...)
		} else if f.Count > 1 {
			c.list[i].Count--
		}
		return f.Kind, true
	}
	return "", false
}
