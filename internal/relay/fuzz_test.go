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

// FuzzStreamReader checks that the reader takes any input without a fault,
// that its answer does not depend on how the input is cut into reads, and that
// it neither returns a line beyond the limit nor one that lacks its end.
func FuzzStreamReader(f *testing.F) {
	f.Add("data: {\"id\":\"a\",\"seq\":0,\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n")
	f.Add("event: error\r\ndata: {\"error\":{}}\r\n\r\n: ping\n\ndata:")
	f.Add("data: {\"id\":\"a\",\"id\":1}\n" + strings.Repeat("x", 2*fuzzMaxLineBytes))
	f.Fuzz(func(t *testing.T, input string) {
		whole, wholeErr := readEvents(t, strings.NewReader(input))
		bytewise, bytewiseErr := readEvents(t, iotest.OneByteReader(strings.NewReader(input)))
		require.Equal(t, whole, bytewise)
		require.Equal(t, wholeErr.Error(), bytewiseErr.Error())
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

// checkParsedChunk checks that a chunk that is taken can be sent on under another
// id, and means the same to another parser.
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

// FuzzParseChat checks that any body is either refused as not run, or can be
// sent to an engine as a stream that resumes where it is told to.
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
		again, err := ParseChat(out)
		require.NoError(t, err, "%s", out)
		require.True(t, again.Stream)
		require.Equal(t, &Resume{NextSeq: 7, Text: "so far"}, again.Resume)
		require.Equal(t, chat.Model, again.Model)
		require.Equal(t, chat.Prompt, again.Prompt)
		require.Equal(t, chat.MaxTokens, again.MaxTokens)
	})
}

func TestParseChatRejectsInvalidRequests(t *testing.T) {
	cases := map[string]string{
		"broken":          `{"model":"m"`,
		"not an object":   `[]`,
		"no model":        `{"messages":[{"role":"user","content":"x"}]}`,
		"no messages":     `{"model":"m"}`,
		"empty messages":  `{"model":"m","messages":[]}`,
		"no role":         `{"model":"m","messages":[{"content":"x"}]}`,
		"model twice":     `{"model":"m","model":"n","messages":[{"role":"user","content":"x"}]}`,
		"model in caps":   `{"model":"m","Model":"n","messages":[{"role":"user","content":"x"}]}`,
		"escaped twice":   `{"model":"m","mod\u0065l":"n","messages":[{"role":"user","content":"x"}]}`,
		"stream a string": `{"model":"m","stream":"yes","messages":[{"role":"user","content":"x"}]}`,
		"two answers":     `{"model":"m","n":2,"messages":[{"role":"user","content":"x"}]}`,
		"half a token":    `{"model":"m","max_tokens":1.5,"messages":[{"role":"user","content":"x"}]}`,
		"priority 10":     `{"model":"m","priority":10,"messages":[{"role":"user","content":"x"}]}`,
		"plain tools":     `{"model":"m","tools":[{}],"messages":[{"role":"user","content":"x"}]}`,
		"resume a list":   `{"model":"m","resume":[1],"messages":[{"role":"user","content":"x"}]}`,
		"deep":            strings.Repeat(`{"a":`, 20000),
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseChat([]byte(body))
			require.Equal(t, failure.CodeBadRequest, failure.AsRefusal(err).Code)
			require.Equal(t, failure.NotRun, failure.AsRefusal(err).Outcome)
		})
	}
}
