// Package engine is a stand-in for a model engine over HTTP. It serves the
// published protocol: chat completions with streams that can be resumed and
// cancelled, load reports, cache events and orders. Token timing comes from the
// simulation of package model or from a fixed interval. The tokens are a function
// of the prompt, so that a resumed response can be compared with an uninterrupted
// one.
package engine

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/model"
)

// DefaultOutputTokens is the length of a completion, in tokens, if the request
// sets no limit.
const DefaultOutputTokens = 64

// Config configures a Server. Its zero value is usable.
type Config struct {
	// Instance is the engine's entry in the platform's instance list.
	Instance platform.Instance
	// Model configures the simulation; its zero value means
	// model.DefaultConfig().
	Model model.Config
	// Speed scales the speed of the simulation; 0 means 1.
	Speed float64
	// TokenInterval, if above 0, replaces the simulation by a generator that
	// emits a token of each stream at this interval, with no queue.
	TokenInterval time.Duration
	// FirstTokenDelay is the time to the first token if TokenInterval is set.
	FirstTokenDelay time.Duration
	// OutputTokens is the length of a completion if the request sets no limit;
	// 0 means DefaultOutputTokens.
	OutputTokens int
	// ChecksFencing makes the engine refuse orders with an outdated fencing
	// token.
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
