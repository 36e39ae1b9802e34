package relay

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/failure"
)

const fuzzMaxLineBytes = 512

// FuzzStreamReader checks that the reader accepts any input without a panic,
// that its events do not depend on how the input is split into reads, and that
// it returns no line longer than the limit.
func FuzzStreamReader(f *testing.F) {
	f.Add("data: {\"id\":\"a\",\"seq\":0,\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n")
	f.Add("event: error\r\ndata: {\"error\":{}}\r\n\r\n: ping\n\ndata:")
	f.Add("data: {\"id\":\"a\",\"id\":1}\n" + strings.Repeat("x", 2*fuzzMaxLineBytes))
	f.Fuzz(func(t *testing.T, input string) {
		events, err := readEvents(t, strings.NewReader(input))
		bytewiseEvents, bytewiseErr := readEvents(t, iotest.OneByteReader(strings.NewReader(input)))
		require.Equal(t, events, bytewiseEvents)
		require.Equal(t, err.Error(), bytewiseErr.Error())
	})
}

func readEvents(t *testing.T, r io.Reader) ([]string, error) {
	reader := newStreamReader(r, fuzzMaxLineBytes)
	var events []string
	for {
		kind, data, err := reader.next()
		if err != nil {
			return events, err
		}
		require.LessOrEqual(t, len(data), fuzzMaxLineBytes)
		events = append(events, string(rune('0'+int(kind)))+string(data))
		if kind == eventChunk {
			checkParsedChunk(t, data)
		}
	}
}

// checkParsedChunk checks that a valid chunk remains valid JSON with its id
// replaced, and that another parser reads the new id.
func checkParsedChunk(t *testing.T, data []byte) {
	var c Chunk
	if parseChunk(&c, data) != nil {
		return
	}
	out := c.appendWithID(nil, []byte(`"other"`))
	var got struct {
		ID  string      `json:"id"`
		Seq json.Number `json:"seq"`
	}
	dec := json.NewDecoder(strings.NewReader(string(out)))
	dec.UseNumber()
	require.NoError(t, dec.Decode(&got), "%s", out)
	require.Equal(t, "other", got.ID, "%s", out)
}

// FuzzParseChat checks that any body is either rejected with the outcome not_run,
// or can be turned into a request for a resumed stream that parses to the same
// chat.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true,"max_tokens":5}`))
	f.Add([]byte(`{"model":"m","Model":"n","messages":[{"role":"user","content":[{"text":"a"}]}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user"}],"n":1,"priority":3,"resume":{"next_seq":1,"text":"a"}}`))
	f.Add([]byte(`[` + strings.Repeat("[", 20000)))
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, err := ParseChat(body)
		if err != nil {
			require.Equal(t, failure.NotRun, failure.AsRefusal(err).Outcome)
			require.Equal(t, 4, failure.AsRefusal(err).Status()/100)
			return
		}
		out, err := endpointBody(body, 7, []byte("so far"))
		require.NoError(t, err)
		reparsed, err := ParseChat(out)
		require.NoError(t, err, "%s", out)
		require.True(t, reparsed.Stream)
		require.Equal(t, &Resume{NextSeq: 7, Text: "so far"}, reparsed.Resume)
		require.Equal(t, chat.Model, reparsed.Model)
		require.Equal(t, chat.Prompt, reparsed.Prompt)
		require.Equal(t, chat.MaxTokens, reparsed.MaxTokens)
	})
}

func TestParseChatRejectsInvalidRequests(t *testing.T) {
	cases := map[string]string{
		"invalid JSON":    `{"model":"m"`,
		"not an object":   `[]`,
		"no model":        `{"messages":[{"role":"user","content":"x"}]}`,
		"no messages":     `{"model":"m"}`,
		"empty messages":  `{"model":"m","messages":[]}`,
		"no role":         `{"model":"m","messages":[{"content":"x"}]}`,
		"duplicate model": `{"model":"m","model":"n","messages":[{"role":"user","content":"x"}]}`,
		"Model and model": `{"model":"m","Model":"n","messages":[{"role":"user","content":"x"}]}`,
		"escaped model":   `{"model":"m","mod\u0065l":"n","messages":[{"role":"user","content":"x"}]}`,
		"stream a string": `{"model":"m","stream":"yes","messages":[{"role":"user","content":"x"}]}`,
		"two choices":     `{"model":"m","n":2,"messages":[{"role":"user","content":"x"}]}`,
		"half a token":    `{"model":"m","max_tokens":1.5,"messages":[{"role":"user","content":"x"}]}`,
		"priority 10":     `{"model":"m","priority":10,"messages":[{"role":"user","content":"x"}]}`,
		"tools no stream": `{"model":"m","tools":[{}],"messages":[{"role":"user","content":"x"}]}`,
		"resume a list":   `{"model":"m","resume":[1],"messages":[{"role":"user","content":"x"}]}`,
		"deeply nested":   strings.Repeat(`{"a":`, 20000),
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseChat([]byte(body))
			require.Equal(t, failure.CodeBadRequest, failure.AsRefusal(err).Code)
			require.Equal(t, failure.NotRun, failure.AsRefusal(err).Outcome)
		})
	}
}
