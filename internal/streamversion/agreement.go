package streamversion

// ServiceVersions is what one gateway knows of the software versions of a service.
type ServiceVersions struct {
	// Sole is the only version that the service has had for Retention, empty if there were
	// several, or if the gateway hasn't followed the endpoints for so long.
	Sole string `json:"o,omitempty" lenient:"required"`
	// Current is the only version of the endpoints that the gateway knows now, empty if there
	// are several or none, or if its entries may be out of date.
	Current string `json:"c,omitempty" lenient:"required"`
	// HasSeveral is set if the gateway knows of several versions within Retention.
	HasSeveral bool `json:"m,omitempty" lenient:"required"`
}

// Agreement decides whether a service has had one version only, by what several gateways know. A
// gateway that is cut off, or stood still, doesn't know that a version has joined, and takes the
// old one for the only one. So it takes one that has followed the endpoints for Retention, another
// one that agrees now, and none that contradicts.
type Agreement struct {
	version      string
	isFollowed   bool
	agreeing     int
	contradicted bool
}

// Add takes in what a gateway knows; each gateway may be added once.
func (a *Agreement) Add(k ServiceVersions) {
	a.contradicted = a.contradicted || k.HasSeveral
	// Gateways of an earlier build don't name the current version.
	for _, version := range []string{k.Sole, k.Current} {
		if version == "" {
			continue
		}
		a.contradicted = a.contradicted || a.version != "" && a.version != version
		a.version = version
	}
	if k.Sole != "" || k.Current != "" {
		a.agreeing++
	}
	a.isFollowed = a.isFollowed || k.Sole != ""
}

// Sole returns the only version that the service has had for Retention. ok is false if that can't
// be known, yet or at all. isAlone says that no other gateway may be running.
func (a *Agreement) Sole(isAlone bool) (version string, ok bool) {
	if a.contradicted || !a.isFollowed || a.agreeing < 2 && !isAlone {
		return "", false
	}
	return a.version, true
}
