package fleet

import "time"

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

// SoleVersion returns the software version of a service if its endpoints have had no other one
// within the given time, of at most versionRetention, before now. ok is false if there was another
// one, or if this gateway hasn't followed the entries for so long.
func (r *Registry) SoleVersion(service string, within time.Duration, now time.Time) (version string, ok bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.followedSince.IsZero() || now.Sub(r.followedSince) < within || now.Sub(r.currentAt) > StoreOutageAfter {
		return "", false
	}
	for _, v := range r.views {
		if v.Service != service {
			continue
		}
		if version != "" && version != v.SoftwareVersion {
			return "", false
		}
		version = v.SoftwareVersion
	}
	for left, at := range r.versionsLeft {
		if left.service != service || now.Sub(at) > within {
			continue
		}
		if version != "" && version != left.version {
			return "", false
		}
		version = left.version
	}
	return version, version != ""
}
