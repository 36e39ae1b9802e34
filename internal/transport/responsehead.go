package transport

import (
	"bytes"
	"fmt"

	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var malformedHeaders = telemetry.NewCounter("responses_malformed", "responses", "responses of any server that were given up because their header is malformed")

// MaxResponseHeaderLines is the greatest number of lines in the header of a response,
// informational ones included. A parsed line takes a few hundred bytes however short it is, so
// that a limit in bytes alone would let some hundred broken responses use up a small machine's
// memory.
const MaxResponseHeaderLines = 256

// HeaderLinesError reports a response whose header has more than MaxResponseHeaderLines lines.
type HeaderLinesError struct{}

// Error implements error.
func (*HeaderLinesError) Error() string {
	return fmt.Sprintf("header has more than %d lines", MaxResponseHeaderLines)
}

// MalformedHeaderError reports a response whose header RFC 9112 doesn't allow.
type MalformedHeaderError struct{ Reason string }

// Error implements error.
func (e *MalformedHeaderError) Error() string { return "malformed header: " + e.Reason }

// responseHead checks the header of a response as its bytes arrive. net/http accepts some that
// mean something else than it reads: any three characters that make a number as the status, and
// protocols other than HTTP/1.
type responseHead struct {
	// isReading is set from the time a response is expected to the end of its header.
	isReading bool
	lines     int
	// err is set once the header is invalid.
	err error

	part headPart
	// statusLine is the start of the status line, up to statusLineStart bytes.
	statusLine []byte
	// lineBytes is the number of bytes of the current line without its end.
	lineBytes int
	// endsWithCR is set after a carriage return, which only a line feed may follow.
	endsWithCR bool
}

// headPart is the part of a header that the next byte belongs to.
type headPart int

const (
	inStatusLine headPart = iota
	inField
)

// statusLineStart is the length of the part of a status line that has the protocol and the status.
const statusLineStart = len("HTTP/1.1 200")

// begin notes that a response is expected.
func (h *responseHead) begin() { *h = responseHead{isReading: true} }

// add checks the next bytes of the response. The error is a *HeaderLinesError or a
// *MalformedHeaderError, again with each later call.
func (h *responseHead) add(p []byte) error {
	for len(p) > 0 && h.isReading && h.err == nil {
		switch h.part {
		case inStatusLine:
			h.addToStatusLine(p[0])
			p = p[1:]
		case inField:
			p = h.addToField(p)
		}
	}
	return h.err
}

// addToStatusLine checks the next byte of the status line.
func (h *responseHead) addToStatusLine(b byte) {
	switch {
	case b == '\n':
		h.endStatusLine()
		return
	case h.endsWithCR || isControl(b) && b != '\r' && b != '\t':
		h.fail("control character in the status line")
	case b == '\r':
		h.endsWithCR = true
	case len(h.statusLine) < statusLineStart:
		h.statusLine = append(h.statusLine, b)
	case h.lineBytes == statusLineStart && b != ' ':
		h.fail(fmt.Sprintf("status line begins with %q", append(h.statusLine, b)))
	}
	h.lineBytes++
}

// endStatusLine checks the protocol and the status. A switch of the protocol is never asked for.
func (h *responseHead) endStatusLine() {
	status, hasProtocol := bytes.CutPrefix(h.statusLine, []byte("HTTP/1."))
	if !hasProtocol || len(status) < len("1 200") || !isDigit(status[0]) || status[1] != ' ' || !isFinalOrInformational(status[2:]) {
		h.fail(fmt.Sprintf("status line begins with %q", h.statusLine))
		return
	}
	h.endLine()
	h.part = inField
}

// isFinalOrInformational reports whether status is one of RFC 9110, from 100 to 599, and not 101.
func isFinalOrInformational(status []byte) bool {
	for _, b := range status {
		if !isDigit(b) {
			return false
		}
	}
	return status[0] >= '1' && status[0] <= '5' && string(status) != "101"
}

// addToField takes in the next bytes of a field line, or of the empty line that ends the header,
// and returns the rest of p.
func (h *responseHead) addToField(p []byte) []byte {
	line, rest, isWhole := bytes.Cut(p, []byte("\n"))
	if len(line) > 0 {
		h.lineBytes += len(line)
		h.endsWithCR = line[len(line)-1] == '\r'
	}
	if !isWhole {
		return nil
	}
	isEmpty := h.lineBytes == 0 || h.lineBytes == 1 && h.endsWithCR
	h.endLine()
	if isEmpty {
		h.endHeader()
	}
	return rest
}

// endLine notes the end of a line.
func (h *responseHead) endLine() {
	h.lines++
	h.lineBytes, h.endsWithCR = 0, false
	if h.lines > MaxResponseHeaderLines {
		h.err = &HeaderLinesError{}
	}
}

// endHeader notes the end of the header. Another one follows that of an informational response.
func (h *responseHead) endHeader() {
	h.isReading = h.statusLine[len("HTTP/1.1 ")] == '1'
	h.part, h.statusLine = inStatusLine, nil
}

func (h *responseHead) fail(reason string) {
	malformedHeaders.Inc()
	h.err = &MalformedHeaderError{Reason: reason}
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

func isControl(b byte) bool { return b < ' ' || b == 0x7f }
