package fleet

import (
	"time"

	"github.com/hickorystage/hickorystage/internal/streamversion"
)

// versionRetention is how long the versions of endpoints that have left are remembered.
const versionRetention = 5 * time.Minute

// serviceVersion is a software version of a service.
type serviceVersion struct{ service, version string }

// recordVersionLeft records that an endpoint's entry is gone or was replaced. r.mu has to be held
// for writing.
func (r *Registry) recordVersionLeft(e *Endpoint, now time.Time) {
	r.versionsLeft[serviceVersion{e.Service, e.SoftwareVersion}] = now
}

// removeOldVersions forgets the versions that left long ago. r.mu has to be held for writing.
func (r *Registry) removeOldVersions(now time.Time) {
	for v, left := range r.versionsLeft {
		if now.Sub(left) > versionRetention {
			delete(r.versionsLeft, v)
		}
	}
}

// Versions returns what this gateway knows of the software versions that the endpoints of a service
// have had within the given time, of at most versionRetention, before now.
func (r *Registry) Versions(service string, within time.Duration, now time.Time) streamversion.ServiceVersions {
	r.mu.RLock()
	defer r.mu.RUnlock()
	current, all := make(map[string]bool), make(map[string]bool)
	for _, v := range r.views {
		if v.Service == service {
			current[v.SoftwareVersion], all[v.SoftwareVersion] = true, true
		}
	}
	for left, at := range r.versionsLeft {
		if left.service == service && now.Sub(at) <= within {
			all[left.version] = true
		}
	}
	out := streamversion.ServiceVersions{HasSeveral: len(all) > 1}
	if now.Sub(r.currentAt) > StoreOutageAfter {
		return out
	}
	out.Current = onlyKey(current)
	if !r.followedSince.IsZero() && now.Sub(r.followedSince) >= within {
		out.Sole = onlyKey(all)
	}
	return out
}

// onlyKey returns the key of a set that has one, otherwise an empty string.
func onlyKey(set map[string]bool) string {
	if len(set) != 1 {
		return ""
	}
	for key := range set {
		return key
	}
	return ""
}
