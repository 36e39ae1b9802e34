package transport

import (
	"crypto/tls"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// respondBeforeUpload responds once a request's header has been read, and sends the body of the
// response, of many lines, once the upload has been read too.
func respondBeforeUpload(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	_ = rc.EnableFullDuplex()
	w.Header().Set("Connection", "keep-alive")
	w.WriteHeader(http.StatusOK)
	_ = rc.Flush()
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, strings.Repeat("line\n", 2*MaxResponseHeaderLines))
}

// TestLinesAfterAnEarlyHeaderAreNoHeaderLines guards against responses that are lost because
// the rest of an upload is taken for the next request, and the body of the response for a header.
func TestLinesAfterAnEarlyHeaderAreNoHeaderLines(t *testing.T) {
	plain := httptest.NewServer(http.HandlerFunc(respondBeforeUpload))
	defer plain.Close()
	secured := httptest.NewTLSServer(http.HandlerFunc(respondBeforeUpload))
	defer secured.Close()
	for _, url := range []string{plain.URL, secured.URL} {
		client := &http.Client{Transport: NewCheckedTransport(&http.Transport{
			DialContext: NewDialFunc(), TLSClientConfig: &tls.Config{InsecureSkipVerify: true},
		})}
		for range 3 {
			body, upload := io.Pipe()
			resp, err := client.Post(url, "text/plain", body)
			require.NoError(t, err)
			_, err = io.WriteString(upload, "the rest")
			require.NoError(t, err)
			require.NoError(t, upload.Close())
			got, err := io.ReadAll(resp.Body)
			require.NoError(t, err, url)
			require.Len(t, got, 2*MaxResponseHeaderLines*len("line\n"))
			require.NoError(t, resp.Body.Close())
		}
		client.CloseIdleConnections()
	}
}
