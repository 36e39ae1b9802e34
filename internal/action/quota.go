package action

import "sync/atomic"

// quota is a bounded count.
type quota struct {
	max  int64
	used atomic.Int64
}

// tryAcquire adds n if max allows it, and reports whether it did.
func (q *quota) tryAcquire(n int) bool {
	if q.used.Add(int64(n)) > q.max {
		q.used.Add(int64(-n))
		return false
	}
	return true
}

// release subtracts n.
func (q *quota) release(n int) { q.used.Add(int64(-n)) }

// quotas bound the memory used by a manager.
type quotas struct {
	records     quota
	voidRecords quota
	bodyBytes   quota
}

func (q *quotas) init(l Limits) {
	q.records.max = int64(l.MaxRecords)
	q.voidRecords.max = int64(l.MaxVoidRecords)
	q.bodyBytes.max = int64(l.MaxTotalReplayBytes)
}
