package transport

import (
	"bytes"
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"

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
// mean something else than it reads: any three characters that make a number as the status,
// protocols other than HTTP/1, names of fields with blanks, which it doesn't take for the framing
// that they name, folded lines, which hide a field in the value of the one before, and transfer
// codings in HTTP/1.0, which it ignores. net/http checks the values.
type responseHead struct {
	// isReading is set from the time a response is expected to the end of its header.
	isReading bool
	lines     int
	// err is set once the header is invalid.
	err error

	part headPart
	// statusLine is the start of the status line, up to statusLineStart bytes.
	statusLine []byte
	// lineBytes is the number of bytes of the current line without its line feed.
	lineBytes int
	// fieldName is the start of the current field's name in HTTP/1.0, up to fieldNameStart bytes.
	fieldName []byte
	// endsWithCR is set after a carriage return, which only a line feed may follow.
	endsWithCR bool
}

// headPart is the part of a header that the next byte belongs to.
type headPart int

const (
	inStatusLine headPart = iota
	inFieldName
	inFieldValue
)

// statusLineStart is the length of the part of a status line that has the protocol and the status.
const statusLineStart = len("HTTP/1.1 200")

// fieldNameStart is the length of the part of a field's name that is kept, one byte more than the
// name that is looked for.
const fieldNameStart = len(transferEncoding) + 1

const transferEncoding = "Transfer-Encoding"

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
		case inFieldName:
			h.addToFieldName(p[0])
			p = p[1:]
		case inFieldValue:
			p = h.skipFieldValue(p)
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

// addToFieldName checks the next byte of a field's name, or of the empty line that ends the
// header.
func (h *responseHead) addToFieldName(b byte) {
	isEmpty := h.lineBytes == 0 || h.endsWithCR
	switch {
	case b == '\n' && isEmpty:
		h.endLine()
		h.endHeader()
		return
	case b == '\n':
		h.fail("line without a colon")
	case b == '\r' && h.lineBytes == 0:
		h.endsWithCR = true
	case b == ':' && !isEmpty && strings.EqualFold(string(h.fieldName), transferEncoding):
		// net/http ignores the field and takes the framing of the chunks for the body.
		h.fail("transfer coding in HTTP/1.0")
	case b == ':' && !isEmpty:
		h.part = inFieldValue
	case h.endsWithCR || !httpguts.IsTokenRune(rune(b)):
		h.fail(fmt.Sprintf("%q in the name of a field", b))
	case h.statusLine[len("HTTP/1.")] == '0' && len(h.fieldName) < fieldNameStart:
		h.fieldName = append(h.fieldName, b)
	}
	h.lineBytes++
}

// skipFieldValue returns what follows the value in p.
func (h *responseHead) skipFieldValue(p []byte) []byte {
	_, rest, isWhole := bytes.Cut(p, []byte("\n"))
	if isWhole {
		h.endLine()
	}
	return rest
}

// endLine notes the end of a line.
func (h *responseHead) endLine() {
	h.lines++
	h.part, h.lineBytes, h.fieldName, h.endsWithCR = inFieldName, 0, h.fieldName[:0], false
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
