package grants

import (
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/requestlimit"
)

// rewriteConn replaces a part of each datagram that it sends.
type rewriteConn struct {
	net.PacketConn
	old, new string
}

func (c *rewriteConn) WriteTo(p []byte, to net.Addr) (int, error) {
	_, err := c.PacketConn.WriteTo([]byte(strings.Replace(string(p), c.old, c.new, 1)), to)
	return len(p), err
}

// TestUnreadableRequestsAreAnswered guards against a coordinator that counts as silent, and
// is not asked for a while, because it can't read one request. A request of which a part
// that doesn't matter for the decision can't be read is decided.
func TestUnreadableRequestsAreAnswered(t *testing.T) {
	req := Request{Service: "s", RankKey: "k", Segments: []endpointload.Segment{{PrefixHash: 7, Tokens: 512}, {PrefixHash: 8, Tokens: 100}}}
	tests := map[string]struct {
		old, new string
		decided  bool
	}{
		"segment":    {`"8 100"`, `"8 -100"`, true},
		"rank key":   {`"k":"k"`, `"k":7`, false},
		"limit":      {`"w":0`, `"w":"x"`, false},
		"whole":      {`"q":{`, `"q":[],"x":{`, false},
		"not closed": {`"q":{`, `"q":`, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			requester, _ := startOn(t, &rewriteConn{listen(t), tt.old, tt.new}, &fakeCoordinator{})
			_, address := start(t, &fakeCoordinator{})
			before := refused.Value()
			resp, err := requester.RequestGrant(t.Context(), "g2", address, req)
			if tt.decided {
				require.NoError(t, err)
				require.Equal(t, Response{Endpoint: "at k", CachedTokens: 512}, resp)
			} else {
				var noResponse *NoResponseError
				require.ErrorAs(t, err, &noResponse)
			}
			require.False(t, requester.isUnresponsive("g2", time.Now()))
			require.Greater(t, refused.Value(), before, "the sender learns of it")
		})
	}
}

// TestUnreadablePermitRequestIsNotPermitted guards against a permit for another limit than
// the one that was asked for.
func TestUnreadablePermitRequestIsNotPermitted(t *testing.T) {
	requester, _ := startOn(t, &rewriteConn{listen(t), `"inc":0`, `"inc":"x"`}, &fakeCoordinator{})
	_, address := start(t, &fakeCoordinator{})
	var noResponse *NoResponseError
	_, err := requester.RequestPermit(t.Context(), "g2", address, PermitRequest{Limit: requestlimit.Limit{ID: "e", PerSecond: 2}})
	require.ErrorAs(t, err, &noResponse)
	require.False(t, requester.isUnresponsive("g2", time.Now()))
}

// TestUnreadableResponses guards against a gateway that counts as silent because one figure
// of its responses can't be read.
func TestUnreadableResponses(t *testing.T) {
	tests := map[string]struct {
		old, new string
		granted  bool
	}{
		"estimate": {`"w":40`, `"w":"x"`, true},
		"endpoint": {`"e":"at k"`, `"e":7`, false},
		"whole":    {`"a":{`, `"a":7,"x":{`, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			requester, _ := start(t, &fakeCoordinator{})
			_, address := startOn(t, &rewriteConn{listen(t), tt.old, tt.new}, &fakeCoordinator{})
			resp, err := requester.RequestGrant(t.Context(), "g2", address, Request{Service: "s", RankKey: "k", EstimateLimitMillis: 40, Segments: []endpointload.Segment{{}}})
			require.Equal(t, tt.granted, err == nil)
			require.Equal(t, tt.granted, resp.Endpoint == "at k")
			require.False(t, requester.isUnresponsive("g2", time.Now()))
		})
	}
}

// TestReadableMessagesAreUnchanged guards against a change of the datagrams that earlier
// builds read.
func TestReadableMessagesAreUnchanged(t *testing.T) {
	body, err := json.Marshal(message{RequestID: 3, Response: &Response{Endpoint: "e"}})
	require.NoError(t, err)
	require.JSONEq(t, `{"n":3,"a":{"e":"e"}}`, string(body))
}
