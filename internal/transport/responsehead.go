package transport

import (
	"bytes"
	"fmt"
)

// MaxResponseHeaderLines is the greatest number of lines in the header of a response,
// informational ones included. A parsed line takes a few hundred bytes however short it is, so
// that a limit in bytes alone would let some hundred broken responses use up a small machine's
// memory.
const MaxResponseHeaderLines = 256

// HeaderLinesError reports a response whose header has more than MaxResponseHeaderLines lines.
type HeaderLinesError struct{ Address string }

// Error implements error.
func (e *HeaderLinesError) Error() string {
	return fmt.Sprintf("header of a response from %s has more than %d lines", e.Address, MaxResponseHeaderLines)
}

// responseHead counts the lines of the header of a response as its bytes arrive.
type responseHead struct {
	// isReading is set from the sending of a request to the end of the response's header.
	isReading bool
	lines     int
	// line is the start of the current line, without carriage returns; statusLine that of the
	// header's first line.
	line, statusLine []byte
}

// lineStart is the number of bytes that are kept of a line: enough for the status of an
// informational response.
const lineStart = len("HTTP/1.1 1")

// begin notes that a request is sent.
func (h *responseHead) begin() { *h = responseHead{isReading: true} }

// add counts the lines in p, and reports whether the header may go on.
func (h *responseHead) add(p []byte) bool {
	for h.isReading {
		part, rest, isWhole := bytes.Cut(p, []byte("\n"))
		part = bytes.TrimSuffix(part, []byte("\r"))
		h.line = append(h.line, part[:min(len(part), lineStart-len(h.line))]...)
		if !isWhole {
			return true
		}
		p = rest
		h.endLine()
		if h.lines > MaxResponseHeaderLines {
			return false
		}
	}
	return true
}

// endLine notes the end of a line. An empty one ends the header, or an informational response,
// after which another header follows.
func (h *responseHead) endLine() {
	h.lines++
	switch {
	case len(h.line) > 0 && h.statusLine == nil:
		h.statusLine = h.line
		h.line = nil
		return
	case len(h.line) == 0 && h.statusLine != nil:
		h.isReading = len(h.statusLine) == lineStart && h.statusLine[lineStart-1] == '1'
		h.statusLine = nil
	}
	h.line = h.line[:0]
}
