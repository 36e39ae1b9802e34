package membership

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hickorystage/hickorystage/internal/peer"
)

// FuzzAbsorb takes in whatever a peer may send: nothing of it may panic, and
// what is sent on afterwards stays within its bounds.
func FuzzAbsorb(f *testing.F) {
	v := fleetView(4, 8)
	whole := v.Compose(peer.Member{ID: "gateway-1", Incarnation: "i", Region: "tuul", Beat: 7}, 1, start)
	whole.Members = v.Members(start)
	whole.Suspects = []peer.Suspect{{ID: "gateway-2", Tag: 1, Epoch: 3}}
	raw, err := json.Marshal(whole)
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
		v.Absorb(msg, start.Add(time.Second))
		v.Expire(start.Add(time.Hour))
		out := v.Compose(peer.Member{ID: "gw0"}, 2, start.Add(time.Hour))
		if len(out.Loads.IDs) > peer.MaxLoads || len(out.Retired) > peer.MaxRetired || len(out.Suspects) > peer.MaxSuspects {
			t.Fatalf("exchange beyond its bounds: %d loads, %d retired, %d suspects", len(out.Loads.IDs), len(out.Retired), len(out.Suspects))
		}
	})
}
