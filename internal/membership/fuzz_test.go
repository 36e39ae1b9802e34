package membership

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hickorystage/hickorystage/internal/peer"
)

// FuzzApplyExchange checks that no decodable exchange causes a panic, and that
// the exchanges built afterwards stay within their limits.
func FuzzApplyExchange(f *testing.F) {
	v := fleetView(4, 8)
	seed := v.BuildExchange(peer.GatewayStatus{ID: "gateway-1", Incarnation: "i", Region: "tuul", HeartbeatSeq: 7}, 1, start)
	seed.Gateways = v.GatewayStatuses(start)
	seed.Suspicions = []peer.Suspicion{{ID: "gateway-2", IncarnationHash: 1, Epoch: 3}}
	raw, err := json.Marshal(seed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"from":{"id":"gw0"},"loads":{"i":["a","b"],"t":[1]},"retired":[{"id":"","inc":"","age_ms":-9223372036854775808}]}`))
	f.Add([]byte(`{"regions":[{"region":"tuul","seq":18446744073709551615,"groups":{"":{}}}],"members":[{"id":"x","beat":18446744073709551615}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var msg peer.Exchange
		if json.Unmarshal(body, &msg) != nil {
			return
		}
		v := fleetView(4, 8)
		v.ApplyExchange(msg, start.Add(time.Second))
		v.RemoveExpired(start.Add(time.Hour))
		out := v.BuildExchange(peer.GatewayStatus{ID: "gw0"}, 2, start.Add(time.Hour))
		if len(out.LoadReports.EndpointIDs) > peer.MaxLoadReports || len(out.Retired) > peer.MaxRetired || len(out.Suspicions) > peer.MaxSuspicions {
			t.Fatalf("exchange exceeds its limits: %d load reports, %d retired incarnations, %d suspicions", len(out.LoadReports.EndpointIDs), len(out.Retired), len(out.Suspicions))
		}
	})
}
