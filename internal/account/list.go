package account

import (
	"iter"
	"maps"
)

// All returns all accounts, in no particular order.
func (x *Index) All() iter.Seq[*Account] {
	if x == nil {
		return func(func(*Account) bool) {}
	}
	return maps.Values(x.byName)
}
