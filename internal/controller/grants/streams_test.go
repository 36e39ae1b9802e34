package grants

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/streamversion"
)

// fakeStreamKeeper is a StreamKeeper whose services have had the version "sole" only.
type fakeStreamKeeper struct {
	mu      sync.Mutex
	records []streamversion.Record
}

func (k *fakeStreamKeeper) KeepStream(r streamversion.Record, _ time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.records = append(k.records, r)
}

func (k *fakeStreamKeeper) LookupStream(id streamversion.ID, service string, _ time.Time) (string, streamversion.ServiceVersions) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.records {
		if r.ID == id && r.Service == service {
			return r.Version, streamversion.ServiceVersions{Sole: "sole"}
		}
	}
	return "", streamversion.ServiceVersions{Sole: "sole", Current: "current", HasSeveral: true}
}

func TestStreamsAreToldAndAskedFor(t *testing.T) {
	requester, _ := start(t, &fakeCoordinator{})
	keeper := &fakeStreamKeeper{}
	conn := listen(t)
	c := New(conn, log.New(io.Discard))
	c.SetCoordinator(&fakeCoordinator{})
	c.SetStreamKeeper(keeper)
	tb := new(tomb.Tomb)
	tb.Go(func() error { return c.Run(tb) })
	t.Cleanup(func() {
		tb.Kill(nil)
		require.NoError(t, tb.Wait())
	})
	address := conn.LocalAddr().String()

	records := make([]streamversion.Record, MaxStreamRecords)
	for i := range records {
		records[i] = streamversion.Record{ID: ^streamversion.ID(i), Service: "a-service-with-a-name-of-forty-characters", Version: "version-2026-" + strconv.Itoa(i)}
	}
	require.NoError(t, requester.TellStreams(address, records))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for i, r := range records {
		var got StreamResponse
		require.Eventually(t, func() bool {
			var err error
			got, err = requester.AskStream(ctx, "g2", address, r.ID, r.Service)
			return err == nil && got.Version != ""
		}, 5*time.Second, time.Millisecond)
		require.Equal(t, "version-2026-"+strconv.Itoa(i), got.Version)
	}
	got, err := requester.AskStream(ctx, "g2", address, 77, records[0].Service)
	require.NoError(t, err)
	require.Empty(t, got.Version)
	require.Equal(t, streamversion.ServiceVersions{Sole: "sole", Current: "current", HasSeveral: true}, got.ServiceVersions)
	require.Empty(t, requester.pending)
}

// TestStreamResponseToAnotherProcessTellsNothing guards against a stream that goes on at the
// version of another one, of which a process before at the same address had asked.
func TestStreamResponseToAnotherProcessTellsNothing(t *testing.T) {
	requester, _ := start(t, &fakeCoordinator{})
	address := answerOnce(t, func(m message) string {
		return fmt.Sprintf(`{"n":%d,"sa":{"r":%d,"v":"v1"}}`, m.RequestID, m.StreamRequest.Nonce+1)
	})
	_, err := requester.AskStream(t.Context(), "g2", address, 1, "s")
	var noResponse *NoResponseError
	require.ErrorAs(t, err, &noResponse)
	_, silent := start(t, &fakeCoordinator{})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = requester.AskStream(ctx, "g3", silent, 1, "s")
	require.ErrorAs(t, err, &noResponse, "a gateway without a keeper doesn't answer")
}
