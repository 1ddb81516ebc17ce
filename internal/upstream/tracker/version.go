package tracker

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
