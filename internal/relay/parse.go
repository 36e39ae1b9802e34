package relay

import (
	"encoding/json"
	"strings"

	"github.com/tidwall/gjson"

	"github.com/hickorystage/hickorystage/internal/failure"
)

// Fields of a chat request that the gateway reads.
const (
	fieldModel               = "model"
	fieldStream              = "stream"
	fieldMessages            = "messages"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
	fieldPriority            = "priority"
	fieldResume              = "resume"
	fieldN                   = "n"
	fieldTools               = "tools"
	fieldFunctions           = "functions"
	fieldLogprobs            = "logprobs"
)

// Limits of a chat request.
const (
	// MaxBodyBytes limits the body of a chat request.
	MaxBodyBytes = 8 << 20
	// MaxModelNameBytes limits a model's name.
	MaxModelNameBytes = 256
	// MaxOutputTokens limits max_tokens.
	MaxOutputTokens = 1 << 20
	// MaxPriority is the highest priority of a chat; 0 is the lowest.
	MaxPriority = 9
)

// ParsedChat holds the fields of a chat request that the gateway needs.
type ParsedChat struct {
	Model  string
	Stream bool
	// Priority is the priority that the caller requested, nil if none.
	Priority *int
	// MaxTokens is the caller's limit on the response, 0 if there is none.
	MaxTokens int
	// Prompt is the text of all messages, each as role, newline, text, newline.
	// Conversations that begin alike have prompts with a common prefix.
	Prompt []byte
	// Resume is set if the request resumes a response.
	Resume *Resume
}

// ParseChat parses the body of a chat request. The error is a *failure.Refusal
// with the outcome not_run. Whether the sender may resume a response is for the
// caller of ParseChat to check.
func ParseChat(body []byte) (ParsedChat, error) {
	if len(body) > MaxBodyBytes {
		return ParsedChat{}, failure.Refuse(failure.CodeBodyTooLarge, "the body is larger than %d bytes", MaxBodyBytes)
	}
	if !json.Valid(body) {
		return ParsedChat{}, badRequest("the body is not valid JSON")
	}
	root := gjson.Parse(unsafeString(body))
	if !root.IsObject() {
		return ParsedChat{}, badRequest("the body is not a JSON object")
	}
	p := chatParser{seen: make(map[string]bool)}
	root.ForEach(p.readField)
	if p.err != nil {
		return ParsedChat{}, p.err
	}
	return p.validate()
}

func badRequest(format string, args ...any) *failure.Refusal {
	return failure.Refuse(failure.CodeBadRequest, format, args...)
}

type chatParser struct {
	chat ParsedChat
	seen map[string]bool
	// streamOnlyField is the name of a field that is supported for streamed
	// responses only, empty if the request has none.
	streamOnlyField string
	err             *failure.Refusal
}

// readField reads one top-level field and returns false to stop at an error.
// Names that differ only in case are rejected, since endpoints may read them as
// the same field.
func (p *chatParser) readField(key, value gjson.Result) bool {
	name := strings.ToLower(key.Str)
	if p.seen[name] {
		p.err = badRequest("the field %q stands twice", name)
		return false
	}
	p.seen[name] = true
	if name != key.Str && isKnownField(name) {
		p.err = badRequest("the field %q must be written %q", key.Str, name)
		return false
	}
	p.err = p.readValue(name, value)
	return p.err == nil
}

func isKnownField(name string) bool {
	switch name {
	case fieldModel, fieldStream, fieldMessages, fieldMaxTokens, fieldMaxCompletionTokens, fieldPriority,
		fieldResume, fieldN, fieldTools, fieldFunctions, fieldLogprobs:
		return true
	}
	return false
}

func (p *chatParser) readValue(name string, v gjson.Result) *failure.Refusal {
	switch name {
	case fieldModel:
		return p.readModel(v)
	case fieldStream:
		return p.readStream(v)
	case fieldMessages:
		return p.readMessages(v)
	case fieldMaxTokens, fieldMaxCompletionTokens:
		return p.readInt(name, v, 1, MaxOutputTokens, func(n int) { p.chat.MaxTokens = n })
	case fieldPriority:
		return p.readInt(name, v, 0, MaxPriority, func(n int) { p.chat.Priority = &n })
	case fieldN:
		return p.readInt(name, v, 1, 1, func(int) {})
	case fieldResume:
		return p.readResume(v)
	case fieldTools, fieldFunctions, fieldLogprobs:
		if v.Type != gjson.Null && v.Type != gjson.False {
			p.streamOnlyField = name
		}
	}
	return nil
}

func (p *chatParser) readModel(v gjson.Result) *failure.Refusal {
	if v.Type != gjson.String || v.Str == "" || len(v.Str) > MaxModelNameBytes {
		return badRequest("%q must be a name of at most %d bytes", fieldModel, MaxModelNameBytes)
	}
	p.chat.Model = strings.Clone(v.Str)
	return nil
}

func (p *chatParser) readStream(v gjson.Result) *failure.Refusal {
	if v.Type == gjson.Null {
		return nil
	}
	if !v.IsBool() {
		return badRequest("%q must be true or false", fieldStream)
	}
	p.chat.Stream = v.Bool()
	return nil
}

func (p *chatParser) readInt(name string, v gjson.Result, low, high int, set func(int)) *failure.Refusal {
	if v.Type == gjson.Null {
		return nil
	}
	n := int(v.Num)
	if v.Type != gjson.Number || float64(n) != v.Num || n < low || n > high {
		return badRequest("%q must be a whole number from %d to %d", name, low, high)
	}
	set(n)
	return nil
}

func (p *chatParser) readResume(v gjson.Result) *failure.Refusal {
	var r Resume
	if err := json.Unmarshal([]byte(v.Raw), &r); err != nil {
		return badRequest("%q must hold next_seq and text", fieldResume).WithCause(err)
	}
	p.chat.Resume = &r
	return nil
}

func (p *chatParser) readMessages(v gjson.Result) *failure.Refusal {
	if !v.IsArray() {
		return badRequest("%q must be a list", fieldMessages)
	}
	count := 0
	ok := true
	v.ForEach(func(_, m gjson.Result) bool {
		count++
		ok = p.readMessage(m)
		return ok
	})
	if !ok || count == 0 {
		return badRequest("%q must be a list of messages, each with a role and a text", fieldMessages)
	}
	return nil
}

func (p *chatParser) readMessage(m gjson.Result) bool {
	role := m.Get("role")
	content := m.Get("content")
	if !m.IsObject() || role.Type != gjson.String || role.Str == "" {
		return false
	}
	p.chat.Prompt = append(p.chat.Prompt, role.Str...)
	p.chat.Prompt = append(p.chat.Prompt, '\n')
	ok := p.readContent(content)
	p.chat.Prompt = append(p.chat.Prompt, '\n')
	return ok
}

// readContent accepts a text, a list of parts with texts, or null.
func (p *chatParser) readContent(v gjson.Result) bool {
	switch {
	case v.Type == gjson.String:
		p.chat.Prompt = append(p.chat.Prompt, v.Str...)
		return true
	case v.Type == gjson.Null:
		return true
	case !v.IsArray():
		return false
	}
	v.ForEach(func(_, part gjson.Result) bool {
		p.chat.Prompt = append(p.chat.Prompt, part.Get("text").Str...)
		return true
	})
	return true
}

func (p *chatParser) validate() (ParsedChat, error) {
	switch {
	case p.chat.Model == "":
		return ParsedChat{}, badRequest("%q is missing", fieldModel)
	case !p.seen[fieldMessages]:
		return ParsedChat{}, badRequest("%q is missing", fieldMessages)
	case p.streamOnlyField != "" && !p.chat.Stream:
		return ParsedChat{}, badRequest("%q is only supported with \"stream\": true", p.streamOnlyField)
	}
	return p.chat, nil
}
