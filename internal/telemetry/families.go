package telemetry

import (
	"expvar"
	"fmt"
	"io"
	"slices"
	"sort"
	"sync"
)

// CounterFamily is a documented set of counters that differ in the value of one label.
// Only a bounded number of values have a counter of their own; the counter of the empty
// value stands for all others together. Its methods may be called concurrently.
type CounterFamily struct {
	Name string
	Unit string
	Help string
	// Label is the name of the label.
	Label string

	limit int
	mu    sync.RWMutex
	// counters holds at most limit counters by value, without that of the others.
	counters map[string]*expvar.Int
	others   expvar.Int
}

var families struct {
	mu     sync.Mutex
	byName map[string]*CounterFamily
}

// NewCounterFamily creates a family with counters of their own for the first limit values
// of the label, and publishes it as "hickorystage.<name>". If a family of that name
// exists, it returns that one.
func NewCounterFamily(name, unit, help, label string, limit int) *CounterFamily {
	families.mu.Lock()
	defer families.mu.Unlock()
	if families.byName == nil {
		families.byName = make(map[string]*CounterFamily)
	}
	if f, ok := families.byName[name]; ok {
		return f
	}
	f := &CounterFamily{Name: name, Unit: unit, Help: help, Label: label, limit: limit, counters: make(map[string]*expvar.Int)}
	expvar.Publish("hickorystage."+name, expvar.Func(func() any { return f.Values() }))
	families.byName[name] = f
	return f
}

// CounterFamilies returns all families, sorted by name.
func CounterFamilies() []*CounterFamily {
	families.mu.Lock()
	defer families.mu.Unlock()
	out := make([]*CounterFamily, 0, len(families.byName))
	for _, f := range families.byName {
		out = append(out, f)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Inc adds 1 to the counter of a value.
func (f *CounterFamily) Inc(value string) { f.counter(value).Add(1) }

func (f *CounterFamily) counter(value string) *expvar.Int {
	f.mu.RLock()
	c, ok := f.counters[value]
	f.mu.RUnlock()
	if ok {
		return c
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok = f.counters[value]; ok {
		return c
	}
	if len(f.counters) >= f.limit || value == "" {
		return &f.others
	}
	c = new(expvar.Int)
	f.counters[value] = c
	return c
}

// Values returns the counters by value. That of the values without a counter of their
// own is under the empty value.
func (f *CounterFamily) Values() map[string]int64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	out := make(map[string]int64, len(f.counters)+1)
	for value, c := range f.counters {
		out[value] = c.Value()
	}
	out[""] = f.others.Value()
	return out
}

// write writes the family in the Prometheus text format.
func (f *CounterFamily) write(w io.Writer) error {
	values := f.Values()
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if _, err := fmt.Fprintf(w, "hickorystage_%s{%s=%q} %d\n", f.Name, f.Label, name, values[name]); err != nil {
			return err
		}
	}
	return nil
}
