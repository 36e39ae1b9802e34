package register_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/controller/register"
	"github.com/hickorystage/hickorystage/internal/platform"
	"github.com/hickorystage/hickorystage/internal/standin/directory"
	"github.com/hickorystage/hickorystage/internal/standin/fault"
	"github.com/hickorystage/hickorystage/internal/standin/memnet"
)

// start runs a gateway's controller against a directory in memory.
func start(t *testing.T) (*directory.Server, *blackboard.Board, *tomb.Tomb) {
	server := directory.New(0)
	l := memnet.Listen("directory")
	httpServer := &http.Server{Handler: server.Handler()}
	go func() { _ = httpServer.Serve(server.Faults.Listener(l)) }()
	t.Cleanup(func() { _ = httpServer.Close() })
	board := blackboard.New(blackboard.Self{ID: "g1", Region: "norrland", CallerAddress: "127.0.0.1:1"})
	c := register.New(register.Config{
		Board:     board,
		Directory: platform.NewHTTPDirectory("http://directory", platform.Options{Dial: l.Dial}),
		Log:       log.New(io.Discard),
	})
	var life tomb.Tomb
	life.Go(func() error { return c.Run(&life) })
	t.Cleanup(func() { life.Kill(nil); _ = life.Wait() })
	return server, board, &life
}

func TestRegistrationFollowsTheLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, board, life := start(t)
		time.Sleep(time.Minute)
		require.Empty(t, server.Lookup(), "a gateway that is not ready is not listed")
		board.Lifecycle.Set(blackboard.Serving)
		for range 60 {
			time.Sleep(time.Second)
			require.Len(t, server.Lookup(), 1)
		}
		board.Lifecycle.Set(blackboard.Draining)
		synctest.Wait()
		require.Empty(t, server.Lookup())
		time.Sleep(time.Minute)
		require.Empty(t, server.Lookup())

		board.Lifecycle.Set(blackboard.Serving)
		synctest.Wait()
		require.Len(t, server.Lookup(), 1)
		life.Kill(nil)
		require.NoError(t, life.Wait())
		require.Empty(t, server.Lookup(), "the entry is removed when the process ends")
	})
}

// TestRegistrationUnderFaults drains while calls fail in each way; the entry is
// gone within its ttl, and mostly at once.
func TestRegistrationUnderFaults(t *testing.T) {
	for _, setting := range []fault.Setting{
		{Kind: fault.DropRequest, Count: 2},
		{Kind: fault.DropResponse, Count: 2},
		{Kind: fault.Silent},
		{Kind: fault.Freeze},
	} {
		t.Run(string(setting.Kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, board, _ := start(t)
				board.Lifecycle.Set(blackboard.Serving)
				time.Sleep(7 * time.Second)
				require.Len(t, server.Lookup(), 1)
				require.NoError(t, server.Faults.Set(setting))
				board.Lifecycle.Set(blackboard.Draining)
				time.Sleep(15 * time.Second)
				require.Empty(t, server.Lookup())
				server.Faults.Reset()
				time.Sleep(15 * time.Second)
				require.Empty(t, server.Lookup(), "no late registration")
			})
		})
	}
}
