package relay

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// DefaultMaxLineBytes is the default of Settings.MaxLineBytes.
const DefaultMaxLineBytes = 256 << 10

// streamBufferBytes is the size of a stream reader's buffer.
const streamBufferBytes = 1 << 10

// eventKind is the kind of one event of a stream.
type eventKind int

const (
	eventChunk eventKind = iota
	eventDone
	eventError
)

var (
	dataPrefix     = []byte("data:")
	eventPrefix    = []byte("event:")
	doneMarker     = []byte("[DONE]")
	errorEventName = []byte("error")
)

// streamReader reads the server-sent events of one response. The data it
// returns is valid until the next call. Each event is taken to have one data
// line.
type streamReader struct {
	br           *bufio.Reader
	maxLineBytes int
	partialLine  []byte
}

func newStreamReader(r io.Reader, maxLine int) *streamReader {
	return &streamReader{br: bufio.NewReaderSize(r, streamBufferBytes), maxLineBytes: maxLine}
}

// hasBufferedData returns whether the next line is a data line that can be read
// without waiting for the connection.
func (s *streamReader) hasBufferedData() bool {
	n := s.br.Buffered()
	if n == 0 {
		return false
	}
	b, _ := s.br.Peek(n)
	b = bytes.TrimLeft(b, "\r\n")
	return bytes.HasPrefix(b, dataPrefix) && bytes.IndexByte(b, '\n') >= 0
}

// next returns the next event's kind and data. At the end of the input it
// returns io.EOF, or io.ErrUnexpectedEOF if the last line is incomplete. A line
// that is too long gives a *MalformedError.
func (s *streamReader) next() (eventKind, []byte, error) {
	kind := eventChunk
	for {
		line, err := s.readLine()
		if err != nil {
			return 0, nil, err
		}
		switch {
		case bytes.HasPrefix(line, dataPrefix):
			return s.parseData(kind, line[len(dataPrefix):])
		case bytes.HasPrefix(line, eventPrefix):
			if bytes.Equal(bytes.TrimSpace(line[len(eventPrefix):]), errorEventName) {
				kind = eventError
			}
		}
	}
}

func (s *streamReader) parseData(kind eventKind, data []byte) (eventKind, []byte, error) {
	data = bytes.TrimSpace(data)
	if kind == eventError {
		return eventError, data, nil
	}
	if bytes.Equal(data, doneMarker) {
		return eventDone, nil, nil
	}
	return eventChunk, data, nil
}

// readLine returns the next line without its line end. It never returns a line
// without one, since that may have been cut off.
func (s *streamReader) readLine() ([]byte, error) {
	s.partialLine = s.partialLine[:0]
	for {
		part, err := s.br.ReadSlice('\n')
		if err == nil && len(s.partialLine) == 0 {
			return trimEOL(part), s.checkLength(len(part))
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, unexpectedEOF(err, len(part)+len(s.partialLine))
		}
		if err := s.checkLength(len(s.partialLine) + len(part)); err != nil {
			return nil, err
		}
		s.partialLine = append(s.partialLine, part...)
		if err == nil {
			return trimEOL(s.partialLine), nil
		}
	}
}

func (s *streamReader) checkLength(n int) error {
	if n > s.maxLineBytes {
		return &MalformedError{Reason: "line longer than the limit"}
	}
	return nil
}

// unexpectedEOF returns io.ErrUnexpectedEOF in place of io.EOF if part of a line
// was read.
func unexpectedEOF(err error, read int) error {
	if read > 0 && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func trimEOL(line []byte) []byte {
	return bytes.TrimRight(line, "\r\n")
}
