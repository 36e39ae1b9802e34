package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDigestOfManySuspects measures what a heartbeat costs while the most requests are
// remembered.
func BenchmarkDigestOfManySuspects(b *testing.B) {
	q := NewOfRequests()
	for i := range maxSuspects {
		crashRequest(q, fmt.Sprint(i), i/64, at(0))
	}
	for b.Loop() {
		q.Digest(at(20 * time.Second))
	}
}
