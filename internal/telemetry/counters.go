// Package telemetry holds the gateway's counters, latency histograms, spans
// and logger.
package telemetry

import (
	"expvar"
	"sort"
	"sync"
)

// Counter is one documented number that the gateway publishes by expvar.
type Counter struct {
	Name string
	Unit string
	Help string
	v    expvar.Int
}

// Add adds n.
func (c *Counter) Add(n int64) { c.v.Add(n) }

// Inc adds one.
func (c *Counter) Inc() { c.v.Add(1) }

// Set sets the value, for gauges.
func (c *Counter) Set(n int64) { c.v.Set(n) }

// Value returns the current value.
func (c *Counter) Value() int64 { return c.v.Value() }

var registry struct {
	mu       sync.Mutex
	counters map[string]*Counter
}

// NewCounter makes a counter and publishes it under "hickorystage.<name>".
// Asked twice for one name, it returns the same counter.
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

// Counters returns every counter in the order of their names.
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
