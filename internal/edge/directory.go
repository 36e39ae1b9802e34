package edge

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/fleet"
)

// directoryTTL is how long callers may use a directory answer. It is short, so
// that callers soon leave a gateway that stops.
const directoryTTL = time.Second

// Addresses returns the callers' addresses of the gateways that are alive and
// ready in a region, of this region if there are none.
func (e *Edge) Addresses(region string) ([]string, time.Duration) {
	now := time.Now()
	out := e.addressesIn(region, now)
	if len(out) == 0 {
		out = e.addressesIn(e.Gateways.Self().Region, now)
	}
	return out, directoryTTL
}

func (e *Edge) addressesIn(region string, now time.Time) []string {
	var out []string
	self := e.Gateways.Self()
	if region == self.Region && e.Ready() {
		out = append(out, self.Caller)
	}
	for _, s := range e.Gateways.Alive(region, now) {
		if s.Ready {
			out = append(out, addressOf(s))
		}
	}
	return out
}

func addressOf(s fleet.Sign) string { return s.Caller }
