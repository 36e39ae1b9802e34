package grants

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/pace"
)

// TestPaceReportReachesCoordinator sends a report over sockets, to a gateway that records
// it and to one that can't.
func TestPaceReportReachesCoordinator(t *testing.T) {
	want := NewPaceReport("e", 3, pace.Sample{Expected: 20 * time.Millisecond, Actual: 50 * time.Millisecond, Objective: time.Second, Result: pace.Failed})
	received := make(chan PaceReport, 1)
	conn := listen(t)
	c := New(conn, log.New(io.Discard))
	c.SetCoordinator(&fakeCoordinator{})
	c.SetPaceRecorder(func(r PaceReport, _ time.Time) { received <- r })
	tb := new(tomb.Tomb)
	tb.Go(func() error { return c.Run(tb) })
	t.Cleanup(func() {
		tb.Kill(nil)
		require.NoError(t, tb.Wait())
	})
	sender, without := start(t, &fakeCoordinator{})
	require.NoError(t, sender.ReportPace(conn.LocalAddr().String(), want))
	require.Equal(t, want, <-received)
	require.NoError(t, sender.ReportPace(without, want))
	_, err := sender.RequestGrant(t.Context(), "g", without, Request{})
	require.NoError(t, err, "it still answers")
	require.Error(t, sender.ReportPace("no address", want))
}

// TestOddPaceReportsAreBounded guards against times of another gateway that overflow or
// that are negative, and against unknown results.
func TestOddPaceReportsAreBounded(t *testing.T) {
	r := PaceReport{Endpoint: "e", ExpectedMillis: -1, ActualMillis: 1 << 62, ObjectiveMillis: 20, Result: pace.Refused}
	require.Equal(t, pace.Sample{Actual: time.Hour, Objective: 20 * time.Millisecond, Result: pace.Refused}, r.Sample())
	var recorded []PaceReport
	c := &Controller{recordPace: func(r PaceReport, _ time.Time) { recorded = append(recorded, r) }}
	for _, odd := range []PaceReport{{Endpoint: "e", Result: -1}, {Endpoint: "e", Result: 99}, {}} {
		c.handlePaceReport(odd)
	}
	require.Empty(t, recorded)
	c.handlePaceReport(r)
	require.Equal(t, []PaceReport{r}, recorded)
}
