package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Sizes of the crowds. What they send exceeds the limits of the process several times:
// heads of short lines take some 0.3 MB each once parsed, bodies 4 MB.
const (
	headCrowd       = 1400
	bodyCrowd       = 64
	connectionCrowd = 3 * maxDescriptors / 2
)

const (
	// endlessBytes is what clients send of heads that never end.
	endlessBytes = 1 << 20
	// pieceBytes is the size of the pieces in which bodies are sent.
	pieceBytes = 64 << 10
)

// TestShortHeaderLines guards against heads of legal size whose lines take many times
// their bytes in memory. Every second client stops before the end of its head.
func TestShortHeaderLines(t *testing.T) {
	forEachTarget(t, func(t *testing.T, target *target) {
		attack(t, target, headCrowd, func(client int, conn net.Conn) {
			head := shortLines(target.head, client%4 < 2)
			if client%2 == 0 {
				head += "Content-Length: 0\r\n\r\n"
			}
			_, _ = io.WriteString(conn, head)
		})
	})
}

// shortLines fills a head up to maxHeaderBytes, with some room for an end, with empty
// lines of distinct names or of a single one.
func shortLines(head string, distinct bool) string {
	var b strings.Builder
	b.WriteString(head)
	for n := 0; b.Len() < maxHeaderBytes-64; n++ {
		if distinct {
			fmt.Fprintf(&b, "%c%c%c:\r\n", 'a'+n%26, 'a'+n/26%26, 'a'+n/26/26%26)
		} else {
			b.WriteString("a:\r\n")
		}
	}
	return b.String()
}

// TestEndlessHead guards against heads over the limit. Every second client stops just
// short of four times the limit and stays.
func TestEndlessHead(t *testing.T) {
	forEachTarget(t, func(t *testing.T, target *target) {
		attack(t, target, headCrowd, func(client int, conn net.Conn) {
			size := endlessBytes
			if client%2 == 0 {
				size = 4*maxHeaderBytes - 1024
			}
			writeFilled(conn, target.head+"Long: ", "a", size)
		})
	})
}

// TestEmptyLines guards against empty lines without end before a request.
func TestEmptyLines(t *testing.T) {
	forEachTarget(t, func(t *testing.T, target *target) {
		attack(t, target, headCrowd, func(_ int, conn net.Conn) {
			writeFilled(conn, "", "\r\n", endlessBytes)
		})
	})
}

// TestWholeBodies guards against many large bodies of legal size at once.
func TestWholeBodies(t *testing.T) {
	forEachTarget(t, func(t *testing.T, target *target) {
		attack(t, target, bodyCrowd, func(_ int, conn net.Conn) {
			letters := maxBodyBytes - len(target.bodyStart) - len(target.bodyEnd)
			head := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", target.head, maxBodyBytes, target.bodyStart)
			if writeFilled(conn, head, "a", letters) {
				_, _ = io.WriteString(conn, target.bodyEnd)
			}
		})
	})
}

// TestUnfinishedBodies guards against large bodies that come in pieces and stop just short
// of their end. Every second one is chunked, without a length.
func TestUnfinishedBodies(t *testing.T) {
	forEachTarget(t, func(t *testing.T, target *target) {
		attack(t, target, bodyCrowd, func(client int, conn net.Conn) {
			if client%2 == 0 {
				head := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", target.head, maxBodyBytes, target.bodyStart)
				writeFilled(conn, head, "a", maxBodyBytes-len(target.bodyStart)-1)
				return
			}
			_, err := io.WriteString(conn, target.head+"Transfer-Encoding: chunked\r\n\r\n")
			piece := fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, strings.Repeat("a", pieceBytes))
			for sent := 0; err == nil && sent < maxBodyBytes-pieceBytes; sent += pieceBytes {
				_, err = io.WriteString(conn, piece)
			}
		})
	})
}

// TestManyConnections guards against more connections than the process has descriptors.
// Every second client sends nothing, the others a part of a head.
func TestManyConnections(t *testing.T) {
	forEachTarget(t, func(t *testing.T, target *target) {
		attack(t, target, connectionCrowd, func(client int, conn net.Conn) {
			if client%2 == 0 {
				_, _ = io.WriteString(conn, target.head)
			}
		})
	})
}

// TestLegalRequestInCalm guards against limits that a single request within the
// configured ones reaches, whatever it is made of: lines of 4 bytes, lines of distinct
// names, or a body of the full size.
func TestLegalRequestInCalm(t *testing.T) {
	forEachTarget(t, func(t *testing.T, target *target) {
		small := target.bodyStart + "x" + target.bodyEnd
		require.Equal(t, target.calmStatus, sendRaw(t, target, shortLines(target.head, false), small), "short lines of one name")
		require.Equal(t, target.calmStatus, sendRaw(t, target, shortLines(target.head, true), small), "short lines of distinct names")
		large := target.bodyStart + strings.Repeat("a", maxBodyBytes-len(target.bodyStart)-len(target.bodyEnd)) + target.bodyEnd
		require.Equal(t, target.largeStatus, sendRaw(t, target, target.head, large), "a body of the full size")
	})
}

// sendRaw sends a request with the given lines and body on a new connection and returns
// the status of the response.
func sendRaw(t *testing.T, target *target, head, body string) int {
	conn, err := net.Dial("tcp", target.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(requestTimeout)))
	_, err = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// writeFilled writes start and then size bytes of repetitions of fill, in pieces. It
// returns false if the gateway has closed the connection.
func writeFilled(conn net.Conn, start, fill string, size int) bool {
	if _, err := io.WriteString(conn, start); err != nil {
		return false
	}
	piece := strings.Repeat(fill, pieceBytes/len(fill))
	for size > 0 {
		n, err := io.WriteString(conn, piece[:min(len(piece), size)])
		if size -= n; err != nil {
			return false
		}
	}
	return true
}
