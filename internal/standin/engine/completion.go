package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the words of completions. Some need escapes in JSON, and some
// have characters of several bytes in UTF-8.
var vocabulary = [...]string{
	"quilt", "river", "sand", "wool", "\"dry\"", "wash", "fält", "deep", "slow\n", "bag",
	"täcke", "air", "depot", "level", "stain", "fill\\haul", "cold", "soft", "<b>", "tape",
	"雨", "truck", "sun", "line", "breach", "cotton", "fold", "pump", "noon", "crew", "press", "rinse",
}

// vocabularySize is a power of two, so that the low bits of a hash select a word.
const vocabularySize = uint64(len(vocabulary))

// Completion is the generated text of one prompt. Its tokens are a function of
// the prompt alone.
type Completion struct {
	seed       uint64
	TokenCount int
}

// NewCompletion returns the completion of prompt with tokenCount tokens.
func NewCompletion(prompt []byte, tokenCount int) Completion {
	return Completion{seed: xxhash.Sum64(prompt), TokenCount: tokenCount}
}

// Token returns the text of the token with number seq, counted from 0.
func (a Completion) Token(seq int) string {
	x := a.seed + uint64(seq)*0x9e3779b97f4a7c15
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return vocabulary[x%vocabularySize]
}

// Text returns the text of the tokens with numbers below end, each followed by a
// space.
func (a Completion) Text(end int) string {
	var b strings.Builder
	for seq := range end {
		b.WriteString(a.Token(seq))
		b.WriteByte(' ')
	}
	return b.String()
}
