package tracker

import "time"

// A VersionPin restricts a choice to the runners of one software version. Its zero value allows any.
type VersionPin struct {
	_       struct{} `cbor:",toarray"`
	Pinned  bool
	Version string
}

// PinTo returns the pin to a software version.
func PinTo(version string) VersionPin { return VersionPin{Pinned: true, Version: version} }

// Allows reports whether a runner may be chosen.
func (p VersionPin) Allows(r Runner) bool { return !p.Pinned || r.Version == p.Version }

// HasVersion reports whether a service has a runner that a pin allows and that is not leaving,
// whether or not it takes requests now.
func (f *Fleet) HasVersion(service string, pin VersionPin) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.runners {
		if s.Service == service && pin.Allows(s.Runner) && !s.Leaving && !s.stated.leaving {
			return true
		}
	}
	return false
}

// Versions returns the software versions of the runners of a service, those included whose last
// runner was removed within a time.
func (f *Fleet) Versions(service string, within time.Duration, now time.Time) map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions := make(map[string]bool)
	for _, s := range f.runners {
		if s.Service == service {
			versions[s.Version] = true
		}
	}
	for v, at := range f.goneVersions {
		if v.service == service && now.Sub(at) < within {
			versions[v.version] = true
		}
	}
	return versions
}

// A serviceVersion is a software version of the runners of a service.
type serviceVersion struct{ service, version string }

// recordGone records that a runner is removed, whose version may have no other runner.
func (f *Fleet) recordGone(r Runner, now time.Time) {
	if f.goneVersions == nil {
		f.goneVersions = make(map[serviceVersion]time.Time)
	}
	f.goneVersions[serviceVersion{r.Service, r.Version}] = now
}
