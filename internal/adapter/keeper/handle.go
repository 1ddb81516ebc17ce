package keeper

import (
	"strconv"
	"strings"
)

// A Handle is the name under which an engine knows one loaded copy of an
// adapter version. No two loads share a handle. An eviction that is carried out
// late, by a paused process or from a lost connection, can therefore name only
// the copy that it was meant for, never one that was loaded since.
type Handle struct {
	Adapter string // name@version
	Loader  string // incarnation that ordered the load
	Serial  uint64 // of the load, by that incarnation
}

// ParseHandle parses the text form, adapter#loader.serial. A name without a
// loader, as of a copy that an operator loaded by hand, has an empty Loader.
func ParseHandle(text string) Handle {
	adapter, rest, _ := strings.Cut(text, "#")
	loader, digits, _ := strings.Cut(rest, ".")
	serial, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return Handle{Adapter: adapter, Loader: rest}
	}
	return Handle{Adapter: adapter, Loader: loader, Serial: serial}
}

// String returns the text form, adapter#loader.serial, or the name alone of a
// copy without a loader.
func (h Handle) String() string {
	if h.Loader == "" && h.Serial == 0 {
		return h.Adapter
	}
	if h.Serial == 0 {
		return h.Adapter + "#" + h.Loader
	}
	return h.Adapter + "#" + h.Loader + "." + strconv.FormatUint(h.Serial, 10)
}
