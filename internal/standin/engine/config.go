// Package engine is the stand-in of a model engine over HTTP: the published
// protocol of chat completions with streams that can be resumed and cancelled,
// load reports, cache events and orders, around the modelled engine of package
// model or around a fixed pace. Its tokens are a function of the prompt, so
// that a resumed answer can be compared with an unbroken one.
package engine

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/model"
)

// DefaultOutputTokens is the length of an answer for which the request sets
// no bound.
const DefaultOutputTokens = 64

// Config sizes a stand-in.
type Config struct {
	// Instance is what the platform's list says of the engine.
	Instance platform.Instance
	// Model is the modelled engine.
	Model model.Config
	// Speed scales the modelled engine; 0 means 1.
	Speed float64
	// TokenInterval replaces the modelled engine by one that emits a token for
	// each stream at this interval, with no queue; 0 keeps the model.
	TokenInterval time.Duration
	// FirstTokenDelay is the time to the first token at a fixed pace.
	FirstTokenDelay time.Duration
	// OutputTokens is the length of answers without a bound; 0 means
	// DefaultOutputTokens.
	OutputTokens int
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
}

func (c Config) withDefaults() Config {
	if c.Speed == 0 {
		c.Speed = 1
	}
	if c.OutputTokens == 0 {
		c.OutputTokens = DefaultOutputTokens
	}
	if c.Model == (model.Config{}) {
		c.Model = model.DefaultConfig()
	}
	return c
}
