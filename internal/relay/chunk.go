package relay

import (
	"strconv"
	"unsafe"

	"github.com/tidwall/gjson"
)

// Chunk is one chunk of a streamed response. It is valid only during the call
// that it is passed to.
type Chunk struct {
	// Seq is the chunk's number within the complete response, from 0.
	Seq uint64
	// Raw is the chunk's JSON as the endpoint sent it.
	Raw []byte
	// Content is the text that the chunk adds.
	Content string
	// FinishReason is set in the last chunk only, empty in all others.
	FinishReason string
	Usage        Usage

	id string
	// idStart and idEnd are the bounds of the value of "id" in Raw, quotes
	// included.
	idStart, idEnd int
	hasSeq         bool
	// hasNonText is set if the chunk adds anything but text, from which a
	// response can't be resumed.
	hasNonText bool
	// malformed is set if a field violates the protocol.
	malformed bool
	// errorMessage is the endpoint's message if it sent an error object.
	errorMessage string
}

// unsafeString returns b as a string without copying it. b must not change while
// the string is in use.
func unsafeString(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// parseChunk parses one chunk's JSON into c, which refers to raw afterwards. The
// error is a *MalformedError, or a *StreamError for an error object.
func parseChunk(c *Chunk, raw []byte) error {
	*c = Chunk{Raw: raw}
	if !gjson.ValidBytes(raw) {
		return &MalformedError{Reason: "chunk is not valid JSON"}
	}
	root := gjson.Parse(unsafeString(raw))
	if !root.IsObject() {
		return &MalformedError{Reason: "chunk is not a JSON object"}
	}
	if c.readFields(root); c.errorMessage != "" {
		return &StreamError{Message: c.errorMessage}
	}
	if c.malformed {
		return &MalformedError{Reason: "chunk has a duplicate field, a field of a wrong type or several choices"}
	}
	if c.idEnd == 0 || !c.hasSeq {
		return &MalformedError{Reason: "chunk has no id or no seq"}
	}
	return nil
}

func (c *Chunk) readFields(root gjson.Result) {
	choices := false
	root.ForEach(func(key, value gjson.Result) bool {
		ok := true
		switch key.Str {
		case "error":
			c.readError(value)
		case "id":
			ok = c.idEnd == 0 && value.Type == gjson.String
			c.id = value.Str
			c.idStart = value.Index
			c.idEnd = value.Index + len(value.Raw)
		case "seq":
			ok = !c.hasSeq && c.readSeq(value)
			c.hasSeq = true
		case "choices":
			ok = !choices && c.readChoices(value)
			choices = true
		case "usage":
			c.Usage = readUsage(value)
		}
		c.malformed = !ok
		return ok
	})
}

// readError sets errorMessage if the endpoint sent an error object in place of a
// chunk.
func (c *Chunk) readError(v gjson.Result) {
	if v.IsObject() {
		c.errorMessage = "error: " + v.Get("message").String()
	}
}

// readSeq accepts non-negative integers only, without a fraction or an exponent.
func (c *Chunk) readSeq(v gjson.Result) bool {
	if v.Type != gjson.Number {
		return false
	}
	n, err := strconv.ParseUint(v.Raw, 10, 64)
	c.Seq = n
	return err == nil
}

// readChoices returns false if there is more than one choice or the value is
// not a list.
func (c *Chunk) readChoices(choices gjson.Result) bool {
	if !choices.IsArray() {
		return false
	}
	n := 0
	choices.ForEach(func(_, choice gjson.Result) bool {
		n++
		c.readChoice(choice)
		return true
	})
	return n <= 1
}

func (c *Chunk) readChoice(choice gjson.Result) {
	choice.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "finish_reason":
			c.FinishReason = value.Str
		case "delta":
			c.readDelta(value)
		}
		return true
	})
}

func (c *Chunk) readDelta(delta gjson.Result) {
	delta.ForEach(func(key, value gjson.Result) bool {
		switch {
		case key.Str == "content" && value.Type == gjson.String:
			c.Content = value.Str
		case key.Str != "role" && value.Type != gjson.Null:
			c.hasNonText = true
		}
		return true
	})
}

func readUsage(v gjson.Result) Usage {
	var u Usage
	v.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "prompt_tokens":
			u.PromptTokens = int(value.Int())
		case "completion_tokens":
			u.CompletionTokens = int(value.Int())
		case "total_tokens":
			u.TotalTokens = int(value.Int())
		}
		return true
	})
	return u
}

// appendWithID appends the chunk's JSON to dst with its id replaced by the
// JSON string quotedID.
func (c *Chunk) appendWithID(dst, quotedID []byte) []byte {
	dst = append(dst, c.Raw[:c.idStart]...)
	dst = append(dst, quotedID...)
	return append(dst, c.Raw[c.idEnd:]...)
}
