package sched

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the assumed mean size of a prompt token in bytes.
const BytesPerToken = 4

// blockBytes is the assumed size of a prompt block in bytes.
const blockBytes = TokensPerBlock * BytesPerToken

// EstimateTokens estimates the number of tokens in n bytes of text.
func EstimateTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// PrefixHashes returns one hash for each complete block of prompt. Each hash
// covers the prompt up to the end of its block. A partial last block has no hash.
func PrefixHashes(prompt []byte) []uint64 {
	n := len(prompt) / blockBytes
	if n == 0 {
		return nil
	}
	out := make([]uint64, n)
	var prev uint64
	for i := range out {
		prev = chainHash(prev, xxhash.Sum64(prompt[i*blockBytes:(i+1)*blockBytes]))
		out[i] = prev
	}
	return out
}

// chainHash combines the hash of a block with the hash of the prompt before it.
func chainHash(prev, block uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], prev)
	binary.LittleEndian.PutUint64(buf[8:], block)
	return xxhash.Sum64(buf[:])
}
