package keeper

import "strings"

// A Handle is the name under which an engine knows one loaded copy of an
// adapter version. Two incarnations never load under the same handle, so a
// late eviction from a paused process can name only what it loaded itself.
type Handle struct {
	Adapter string // name@version
	Loader  string // incarnation that ordered the load
}

// ParseHandle parses the text form, adapter#loader. A name without a loader,
// as of a copy that an operator loaded by hand, has an empty Loader.
func ParseHandle(text string) Handle {
	adapter, loader, _ := strings.Cut(text, "#")
	return Handle{Adapter: adapter, Loader: loader}
}

// String returns the text form, adapter#loader.
func (h Handle) String() string {
	return h.Adapter + "#" + h.Loader
}
