package relay_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/relay"
	"github.com/hickorystage/hickorystage/internal/standin/engine"
)

// stockClient returns the OpenAI client library in front of a relay with one
// engine.
func stockClient(t *testing.T, faults ...engine.ChunkFault) openai.Client {
	e := engine.New(engine.Config{TokenInterval: time.Millisecond})
	for _, f := range faults {
		require.NoError(t, e.ChunkFaults.Add(f))
	}
	backend := httptest.NewServer(e.Handler())
	t.Cleanup(backend.Close)
	target := relay.Target{ID: "a", Address: backend.Listener.Addr().String()}
	r := relay.New(relay.Settings{})
	t.Cleanup(func() { require.NoError(t, r.Close()) })
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		require.NoError(t, err)
		chat, err := relay.ParseChat(body)
		require.NoError(t, err)
		var sink relay.Sink = relay.NewJSONSink(w, "req", chat.Model, time.Now())
		if chat.Stream {
			sink = relay.NewSSESink(w, relay.SSEOptions{ChunkID: "req", RequestID: "req"})
		}
		pick := func(_ context.Context, tried map[string]bool) (relay.Target, error) {
			if tried[target.ID] {
				return relay.Target{}, failure.Refuse(failure.CodeNoEndpoint, "no endpoint is left")
			}
			return target, nil
		}
		_, _ = r.Chat(req.Context(), relay.ChatRequest{RequestID: "req", Model: chat.Model, Body: body}, pick, sink)
	}))
	t.Cleanup(front.Close)
	return openai.NewClient(option.WithBaseURL(front.URL+"/v1"), option.WithAPIKey("k"), option.WithMaxRetries(0))
}

var question = openai.ChatCompletionNewParams{
	Model:     "m",
	Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("wool?")},
	MaxTokens: openai.Int(maxTokens),
}

func wantAnswer() string { return plannedCaller{prompt: "wool?", tokens: maxTokens}.want() }

func TestStockClientPlain(t *testing.T) {
	client := stockClient(t)
	got, err := client.Chat.Completions.New(t.Context(), question)
	require.NoError(t, err)
	require.Equal(t, wantAnswer(), got.Choices[0].Message.Content)
	require.EqualValues(t, maxTokens, got.Usage.CompletionTokens)
}

func TestStockClientStream(t *testing.T) {
	client := stockClient(t)
	stream := client.Chat.Completions.NewStreaming(t.Context(), question)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		require.True(t, acc.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	require.Equal(t, wantAnswer(), acc.Choices[0].Message.Content)
	require.Equal(t, "length", acc.Choices[0].FinishReason)
}

func TestStockClientSeesABrokenStreamAsAnError(t *testing.T) {
	client := stockClient(t, engine.ChunkFault{Kind: engine.ChunkOtherAttempt, Seq: 5})
	stream := client.Chat.Completions.NewStreaming(t.Context(), question)
	n := 0
	for stream.Next() {
		n++
	}
	require.Equal(t, 5, n)
	require.ErrorContains(t, stream.Err(), string(failure.CodeIncompleteResponse))
}
