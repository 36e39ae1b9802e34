package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/failure"
)

// TestRefusalOfACancelledCallIsSent guards against the empty 200 that net/http sends to a
// caller that has closed its sending direction only.
func TestRefusalOfACancelledCallIsSent(t *testing.T) {
	g := New(Config{Board: blackboard.New(blackboard.Self{ID: "gw", Region: "north"})})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	recorder := httptest.NewRecorder()
	next := func(http.ResponseWriter, *http.Request, *call) error {
		return failure.New(failure.CodeIncompleteResponse, failure.Unknown, "the caller went away")
	}
	g.serve(recorder, httptest.NewRequestWithContext(ctx, http.MethodPost, "/", nil), &call{deadline: time.Now().Add(time.Minute)}, next)
	require.Equal(t, http.StatusBadGateway, recorder.Code)
	require.Contains(t, recorder.Body.String(), `"unknown"`)
}
