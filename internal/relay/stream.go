package relay

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// DefaultMaxLine bounds one line of a stream, in bytes.
const DefaultMaxLine = 256 << 10

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
	fieldData  = []byte("data:")
	fieldEvent = []byte("event:")
	doneMark   = []byte("[DONE]")
	errorName  = []byte("error")
)

// streamReader reads the server-sent events of one answer. The data it
// returns is valid until the next call.
type streamReader struct {
	br   *bufio.Reader
	max  int
	long []byte
}

func newStreamReader(r io.Reader, maxLine int) *streamReader {
	return &streamReader{br: bufio.NewReaderSize(r, streamBufferBytes), max: maxLine}
}

// more returns whether another data line can be read without waiting for the
// connection.
func (s *streamReader) more() bool {
	n := s.br.Buffered()
	if n == 0 {
		return false
	}
	b, _ := s.br.Peek(n)
	b = bytes.TrimLeft(b, "\r\n")
	return bytes.HasPrefix(b, fieldData) && bytes.IndexByte(b, '\n') >= 0
}

// next returns the next event. At the end of the input it returns io.EOF or
// io.ErrUnexpectedEOF.
func (s *streamReader) next() (eventKind, []byte, error) {
	kind := eventChunk
	for {
		line, err := s.line()
		if err != nil {
			return 0, nil, err
		}
		switch {
		case bytes.HasPrefix(line, fieldData):
			return s.data(kind, line[len(fieldData):])
		case bytes.HasPrefix(line, fieldEvent):
			if bytes.Equal(bytes.TrimSpace(line[len(fieldEvent):]), errorName) {
				kind = eventError
			}
		}
	}
}

func (s *streamReader) data(kind eventKind, data []byte) (eventKind, []byte, error) {
	data = bytes.TrimSpace(data)
	if kind == eventError {
		return eventError, data, nil
	}
	if bytes.Equal(data, doneMark) {
		return eventDone, nil, nil
	}
	return eventChunk, data, nil
}

// line returns the next line without its end. A line that lacks its end is
// never returned.
func (s *streamReader) line() ([]byte, error) {
	s.long = s.long[:0]
	for {
		part, err := s.br.ReadSlice('\n')
		if err == nil && len(s.long) == 0 {
			return trimEOL(part), s.check(len(part))
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, atEOF(err, len(part)+len(s.long))
		}
		if err := s.check(len(s.long) + len(part)); err != nil {
			return nil, err
		}
		s.long = append(s.long, part...)
		if err == nil {
			return trimEOL(s.long), nil
		}
	}
}

func (s *streamReader) check(n int) error {
	if n > s.max {
		return &MalformedError{Reason: "line too long"}
	}
	return nil
}

func atEOF(err error, read int) error {
	if read > 0 && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func trimEOL(line []byte) []byte {
	return bytes.TrimRight(line, "\r\n")
}
