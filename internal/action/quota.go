package action

import "sync/atomic"

// quota is a bounded count.
type quota struct {
	max  int64
	used atomic.Int64
}

// take adds n if the bound allows it and reports whether it did.
func (q *quota) take(n int) bool {
	if q.used.Add(int64(n)) > q.max {
		q.used.Add(int64(-n))
		return false
	}
	return true
}

// give returns n.
func (q *quota) give(n int) { q.used.Add(int64(-n)) }

// quotas bound the memory of a manager.
type quotas struct {
	records quota
	voids   quota
	bodies  quota
}

func (q *quotas) init(l Limits) {
	q.records.max = int64(l.MaxRecords)
	q.voids.max = int64(l.MaxVoids)
	q.bodies.max = int64(l.MaxKeptBytes)
}
