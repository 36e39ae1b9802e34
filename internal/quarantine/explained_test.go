package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEvidenceOutlastsAWrongHold guards against endpoints that crash one after the other since a
// segment in common use was held in place of the deadly one, and the evidence went with it.
func TestEvidenceOutlastsAWrongHold(t *testing.T) {
	for _, reported := range []bool{false, true} {
		t.Run(fmt.Sprintf("completion reported %t", reported), func(t *testing.T) {
			q := New()
			q.RecordCompletion(segments("system"), at(-time.Second))
			recordCrashes(q, at(time.Second), 1, 6, "system", "caller", "deadly")
			// One request of the same caller runs on an endpoint that crashes.
			recordCrashes(q, at(2*time.Second), 7, 1, "system", "caller", "its own")
			q.RecordCompletion(segments("system"), at(5*time.Second))
			recordCrashes(q, at(6*time.Second), 8, 1, "system", "caller", "deadly")
			require.True(t, isHeld(q, "caller", at(6*time.Second)))
			require.False(t, isHeld(q, "deadly", at(6*time.Second)))
			recordCrashes(q, at(6100*time.Millisecond), 9, 1, "system", "caller", "deadly")

			if reported {
				other := New()
				recordCrashes(other, at(time.Second), 1, 1, "caller")
				other.RecordCompletion(segments("system", "caller"), at(6200*time.Millisecond))
				q.Apply(other.Digest(at(6200*time.Millisecond)), at(6200*time.Millisecond))
			} else {
				q.RecordCompletion(segments("system", "caller"), at(6200*time.Millisecond))
			}
			require.False(t, isHeld(q, "caller", at(6200*time.Millisecond)))
			require.True(t, isHeld(q, "deadly", at(6200*time.Millisecond)))
			require.False(t, isHeld(q, "its own", at(6200*time.Millisecond)))
			require.False(t, isHeld(q, "system", at(6200*time.Millisecond)))
			require.Equal(t, 1, q.HeldCount())
		})
	}
}

// TestRightHoldSparesTheOthers checks that what a held segment accounts for counts against no
// other one once it expires.
func TestRightHoldSparesTheOthers(t *testing.T) {
	q := New()
	recordCrashes(q, at(time.Second), 1, 6, "caller", "deadly")
	recordCrashes(q, at(2*time.Second), 7, 1, "deadly")
	recordCrashes(q, at(6*time.Second), 8, 1, "deadly")
	require.True(t, isHeld(q, "deadly", at(6*time.Second)))
	require.False(t, isHeld(q, "caller", at(6*time.Second)))
	for now := at(6 * time.Second); now.Before(at(12 * time.Minute)); now = now.Add(time.Second) {
		q.Digest(now)
		require.False(t, isHeld(q, "caller", now))
	}
}

func TestCrashesSetAsideAreBounded(t *testing.T) {
	q := New()
	recordCrashes(q, at(time.Second), 1, 3, "deadly")
	recordCrashes(q, at(6*time.Second), 4, 1, "deadly")
	require.True(t, isHeld(q, "deadly", at(6*time.Second)))
	for i := range 1000 {
		q.RecordCrash(segments("deadly", fmt.Sprint(i)), 4, at(6*time.Second), at(6*time.Second))
	}
	require.LessOrEqual(t, len(q.explained[4].setAside), maxSetAside)
}
