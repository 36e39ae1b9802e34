package platform

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// Headers in every response of the key-value service.
const (
	// HeaderEra is the number of the era.
	HeaderEra = "Store-Era"
	// HeaderRestoredMillis is the time since the restore that began the era, in
	// milliseconds. It is absent in the first era.
	HeaderRestoredMillis = "Store-Restored-Ms"
)

// firstEra is the number of the era of a service that was never restored.
const firstEra = 1

var storeEras = telemetry.NewCounter("store_restores_seen", "restores", "times that responses of the store named a newer era: it was restored from an older copy")

// eraTracker holds the newest era that responses have named.
type eraTracker struct {
	mu      sync.Mutex
	current Era
}

func (t *eraTracker) get() Era {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// observe records the era that a response names, and returns its number, 0 if it names
// none, and the number of the newest era. A restore whose time isn't told counts from now.
func (t *eraTracker) observe(h http.Header, now time.Time) (number, newest uint64) {
	number, err := strconv.ParseUint(h.Get(HeaderEra), 10, 64)
	if err != nil {
		number = 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if number <= t.current.Number {
		return number, t.current.Number
	}
	if t.current.Number != 0 {
		storeEras.Inc()
	}
	t.current = Era{Number: number}
	if number > firstEra {
		ms, err := strconv.ParseUint(h.Get(HeaderRestoredMillis), 10, 63)
		if err != nil || time.Duration(ms) > maxRestoredAge/time.Millisecond {
			ms = 0
		}
		t.current.BeganAt = now.Add(-time.Duration(ms) * time.Millisecond)
	}
	return number, number
}

// maxRestoredAge bounds the time since a restore that is believed.
const maxRestoredAge = 10 * 365 * 24 * time.Hour
