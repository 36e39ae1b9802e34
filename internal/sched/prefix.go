package sched

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the assumed mean size of a token in a prompt.
const BytesPerToken = 4

// blockBytes is the assumed size of a block in a prompt.
const blockBytes = TokensPerBlock * BytesPerToken

// EstimateTokens estimates the number of tokens in n bytes of text.
func EstimateTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// PrefixHashes returns the hashes of the whole blocks of prompt; each covers
// everything before it. A part of a block at the end has no hash.
func PrefixHashes(prompt []byte) []uint64 {
	n := len(prompt) / blockBytes
	if n == 0 {
		return nil
	}
	out := make([]uint64, n)
	var prev uint64
	for i := range out {
		prev = chain(prev, xxhash.Sum64(prompt[i*blockBytes:(i+1)*blockBytes]))
		out[i] = prev
	}
	return out
}

// chain folds a block's hash into the hash of everything before it.
func chain(prev, block uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], prev)
	binary.LittleEndian.PutUint64(buf[8:], block)
	return xxhash.Sum64(buf[:])
}
