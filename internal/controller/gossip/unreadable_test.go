package gossip

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/blackboard"
	"github.com/hickorystage/hickorystage/internal/membership"
	"github.com/hickorystage/hickorystage/internal/peer"
)

const secret = "a-secret-of-gateways"

// testGateway is a gateway whose peer listener answers exchanges.
type testGateway struct {
	*Controller
	board   *blackboard.Board
	address string
}

// newTestGateway starts a gateway. damage replaces a part of what it sends.
func newTestGateway(t *testing.T, id string, damage *strings.Replacer) *testGateway {
	server := httptest.NewUnstartedServer(nil)
	address := server.Listener.Addr().String()
	board := blackboard.New(blackboard.Self{ID: id, Incarnation: "i-" + id, Region: "north", PeerAddress: address})
	signer := peer.NewSigner(id, []string{secret})
	g := &testGateway{board: board, address: address}
	g.Controller = New(board, &damagedClient{signer: signer, damage: damage}, time.Second, nil, 1, log.New(io.Discard))
	handler := peer.NewServer(signer, address, nil, peer.Handlers{Exchange: g.HandleExchange}).Handler()
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		w.WriteHeader(recorder.Code)
		_, _ = io.WriteString(w, damage.Replace(recorder.Body.String()))
	})
	server.Start()
	t.Cleanup(server.Close)
	return g
}

// damagedClient sends exchanges of which a part is replaced.
type damagedClient struct {
	signer *peer.Signer
	damage *strings.Replacer
}

func (c *damagedClient) Exchange(ctx context.Context, address string, msg peer.Exchange) (peer.Exchange, error) {
	body, err := json.Marshal(msg)
	if err != nil {
		return peer.Exchange{}, err
	}
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		sent := c.damage.Replace(string(body))
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+peer.PathExchange, strings.NewReader(sent))
		c.signer.Sign(req, []byte(sent))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	}))
	defer proxy.Close()
	return peer.NewClient(c.signer, nil).Exchange(ctx, strings.TrimPrefix(proxy.URL, "http://"), msg)
}

// isAlive reports whether g takes the gateway id for alive.
func (g *testGateway) isAlive(id string, now time.Time) bool {
	p, ok := g.board.Peers.Get(id)
	return ok && !p.Suspected && now.Sub(p.LastSeen) < membership.LivenessTimeout
}

// TestUnreadableExchangesAreSignsOfLife guards against a gateway that runs and is suspected
// because its peers can't read its exchanges, or it theirs.
func TestUnreadableExchangesAreSignsOfLife(t *testing.T) {
	damages := map[string]*strings.Replacer{
		"sequence":     strings.NewReplacer(`"beat":`, `"beat":-`),
		"revision":     strings.NewReplacer(`"rev":0`, `"rev":"x"`),
		"incarnation":  strings.NewReplacer(`"inc":"i-b"`, `"inc":7`),
		"id":           strings.NewReplacer(`"id":"b"`, `"id":7`),
		"whole status": strings.NewReplacer(`"from":{`, `"from":7,"x":{`),
		"loads":        strings.NewReplacer(`"loads":{}`, `"loads":7`),
		"not JSON":     strings.NewReplacer(`"from":`, `"from"`),
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			a := newTestGateway(t, "a", strings.NewReplacer())
			b := newTestGateway(t, "b", strings.NewReplacer())
			require.True(t, b.exchangeWith(t.Context(), a.address, b.buildExchange(time.Now())))
			require.True(t, a.isAlive("b", time.Now()))
			damaged := newTestGateway(t, "b", damage)
			damaged.heartbeatSeq.Store(b.heartbeatSeq.Load())
			forget := func() {
				a.board.Peers.Update("b", func(p blackboard.PeerState, ok bool) (blackboard.PeerState, bool) {
					p.LastSeen, p.Address = time.Now().Add(-2*membership.LivenessTimeout), damaged.address
					return p, ok
				})
				require.False(t, a.isAlive("b", time.Now()))
			}
			before := refused.Value()
			forget()
			require.True(t, damaged.exchangeWith(t.Context(), a.address, damaged.buildExchange(time.Now())), "it doesn't take its peer for silent")
			require.True(t, a.isAlive("b", time.Now()), "as the sender of a request")
			require.Greater(t, refused.Value(), before, "the sender learns of it")
			forget()
			p, _ := a.board.Peers.Get("b")
			a.probe(t.Context(), p, a.buildExchange(time.Now()))
			require.True(t, a.isAlive("b", time.Now()), "as the sender of a response")
		})
	}
}

// TestRefusalByAnEarlierBuildIsASignOfLife guards against a gateway that suspects all peers
// of an earlier build, which answer 400 to what they can't read.
func TestRefusalByAnEarlierBuildIsASignOfLife(t *testing.T) {
	a := newTestGateway(t, "a", strings.NewReplacer())
	earlier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) }))
	t.Cleanup(earlier.Close)
	address := strings.TrimPrefix(earlier.URL, "http://")
	p := blackboard.PeerState{ID: "b", Incarnation: "i-b", Region: "north", Address: address, LastSeen: time.Now(), HeartbeatSeq: 1}
	a.view.ApplyPeer(p, true)
	a.probe(t.Context(), p, a.buildExchange(time.Now()))
	require.True(t, a.isAlive("b", time.Now()))
}
