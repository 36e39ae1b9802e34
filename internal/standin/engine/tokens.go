package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// words are what answers are made of. Some need escapes in JSON or more than
// one byte a letter.
var words = [...]string{
	"quilt", "river", "sand", "wool", "\"dry\"", "wash", "fält", "deep", "slow\n", "bag",
	"täcke", "air", "depot", "level", "stain", "fill\\haul", "cold", "soft", "<b>", "tape",
	"雨", "truck", "sun", "line", "breach", "cotton", "fold", "pump", "noon", "crew", "press", "rinse",
}

// wordCount is a power of two, so that a hash selects a word by its low bits.
const wordCount = uint64(len(words))

// Completion is the whole answer to one prompt: a function of the prompt alone.
type Completion struct {
	seed       uint64
	TokenCount int
}

// NewCompletion returns the answer of length tokens to prompt.
func NewCompletion(prompt []byte, length int) Completion {
	return Completion{seed: xxhash.Sum64(prompt), TokenCount: length}
}

// Token returns the text of token number seq.
func (a Completion) Token(seq int) string {
	x := a.seed + uint64(seq)*0x9e3779b97f4a7c15
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return words[x%wordCount]
}

// Text returns the text of the tokens before end, each followed by a space.
func (a Completion) Text(end int) string {
	var b strings.Builder
	for seq := range end {
		b.WriteString(a.Token(seq))
		b.WriteByte(' ')
	}
	return b.String()
}
