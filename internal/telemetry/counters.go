// Package telemetry provides the gateway's counters, latency histograms, trace
// spans and logger.
package telemetry

import (
	"expvar"
	"sort"
	"sync"
)

// Counter is a documented counter or gauge that is published by expvar. Its
// methods may be called concurrently.
type Counter struct {
	Name string
	Unit string
	Help string
	v    expvar.Int
}

func (c *Counter) Add(n int64) { c.v.Add(n) }

func (c *Counter) Inc() { c.v.Add(1) }

// Set sets the value of a gauge.
func (c *Counter) Set(n int64) { c.v.Set(n) }

func (c *Counter) Value() int64 { return c.v.Value() }

var registry struct {
	mu       sync.Mutex
	counters map[string]*Counter
}

// NewCounter creates a counter and publishes it as "hickorystage.<name>". If a
// counter of that name exists, it returns that one and ignores unit and help.
func NewCounter(name, unit, help string) *Counter {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.counters == nil {
		registry.counters = make(map[string]*Counter)
	}
	if c, ok := registry.counters[name]; ok {
		return c
	}
	c := &Counter{Name: name, Unit: unit, Help: help}
	expvar.Publish("hickorystage."+name, &c.v)
	registry.counters[name] = c
	return c
}

// Counters returns all counters, sorted by name.
func Counters() []*Counter {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	out := make([]*Counter, 0, len(registry.counters))
	for _, c := range registry.counters {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
