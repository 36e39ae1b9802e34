package bodyread

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/memory"
)

// withoutEnd is a reader that returns its last bytes without io.EOF.
type withoutEnd struct{ io.Reader }

// TestReadReturnsAllBytes reads bodies around the sizes of the steps, by readers that return
// few bytes at a time or the end together with the last ones, and checks what is reserved.
func TestReadReturnsAllBytes(t *testing.T) {
	readers := map[string]func(io.Reader) io.Reader{
		"plain":         func(r io.Reader) io.Reader { return withoutEnd{r} },
		"half":          iotest.HalfReader,
		"end with data": iotest.DataErrReader,
	}
	for name, wrap := range readers {
		for _, size := range []int{0, 1, firstPart - 1, firstPart, firstPart + 1, lastPart, 3 * lastPart, 1_000_000} {
			want := bytes.Repeat([]byte("x"), size)
			for _, length := range []int64{-1, int64(size)} {
				account := memory.NewAccount(0)
				h := account.Open(memory.Body)
				got, err := Read(h, wrap(bytes.NewReader(want)), length)
				require.NoError(t, err, "%s, %d bytes, length %d", name, size, length)
				require.Len(t, got, size)
				require.Equal(t, int64(cap(got)), account.Usage().InUse)
				if length >= 0 {
					require.Equal(t, size, cap(got), "a known length is not exceeded")
				}
			}
		}
	}
}

// TestReadReservesBeforeItReads checks that a body that doesn't fit is refused before any of
// it is read, if its length is known, and once a step doesn't fit otherwise.
func TestReadReservesBeforeItReads(t *testing.T) {
	const limit = 100_000
	var exhausted *memory.ExhaustedError
	body := strings.NewReader(strings.Repeat("x", 2*limit))
	_, err := Read(memory.NewAccount(limit).Open(memory.Body), body, 2*limit)
	require.ErrorAs(t, err, &exhausted)
	require.Equal(t, 2*limit, body.Len())
	account := memory.NewAccount(limit)
	h := account.Open(memory.Response)
	parts, err := ReadParts(h, body, -1)
	require.ErrorAs(t, err, &exhausted)
	require.Equal(t, 2*limit-len(bytes.Join(parts, nil)), body.Len(), "what was read is returned")
	require.LessOrEqual(t, account.Usage().InUse, int64(limit))
	h.Close()
	require.Zero(t, account.Usage().InUse)
}

// TestUnknownLengthLeavesLittleUnused guards against a crowd of bodies of unknown length that
// holds, or leaves as garbage, a multiple of what it has sent.
func TestUnknownLengthLeavesLittleUnused(t *testing.T) {
	account := memory.NewAccount(0)
	body := bytes.Repeat([]byte("0123456789"), 100_000)
	parts, err := ReadParts(account.Open(memory.Body), bytes.NewReader(body), -1)
	require.NoError(t, err)
	require.Equal(t, body, bytes.Join(parts, nil))
	require.LessOrEqual(t, account.Usage().InUse, int64(len(body)+lastPart))
}

// TestReadReportsTheEviction guards against an eviction that is taken for a broken
// connection, or is not noticed because the body was whole by then.
func TestReadReportsTheEviction(t *testing.T) {
	for _, after := range []error{nil, errors.New("deadline exceeded")} {
		account := memory.NewAccount(1000)
		h, other := account.Open(memory.Body), account.Open(memory.Head)
		r := readerFunc(func(p []byte) (int, error) {
			if account.Usage().Head == 0 {
				require.NoError(t, other.Reserve(200))
				return len(p), after
			}
			return 0, io.EOF
		})
		_, err := Read(h, r, 900)
		var evicted *memory.EvictedError
		require.ErrorAs(t, err, &evicted)
		require.Equal(t, int64(200), account.Usage().InUse)
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// deadlineRecorder is a response whose connection records its read deadline.
type deadlineRecorder struct {
	http.ResponseWriter
	deadline time.Time
}

func (d *deadlineRecorder) SetReadDeadline(t time.Time) error {
	d.deadline = t
	return nil
}

// TestEvictionInterruptsTheReader guards against an evicted body that stays in memory until
// its sender goes on or the body timeout ends.
func TestEvictionInterruptsTheReader(t *testing.T) {
	account := memory.NewAccount(1000)
	h := account.Open(memory.Body)
	require.NoError(t, h.Reserve(900))
	w := &deadlineRecorder{}
	InterruptOnEvict(h, w)
	require.Zero(t, w.deadline)
	require.NoError(t, account.Open(memory.Head).Reserve(200))
	require.False(t, w.deadline.IsZero())
	require.True(t, w.deadline.Before(time.Now()))
}

// TestReadPassesErrors checks that a broken body is not taken for a whole one.
func TestReadPassesErrors(t *testing.T) {
	broken := iotest.ErrReader(io.ErrUnexpectedEOF)
	for _, length := range []int64{-1, 10, 0} {
		_, err := Read(memory.NewAccount(0).Open(memory.Body), broken, length)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}
