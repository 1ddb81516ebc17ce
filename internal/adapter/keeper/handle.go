package keeper

import (
	"strconv"
	"strings"
)

// A Handle identifies one loaded copy of an adapter version at an engine. No two
// loads share a handle. An eviction that is carried out late, from a paused process
// or a lost connection, can therefore affect only the copy that it was meant for,
// never one that was loaded since.
type Handle struct {
	Adapter string // name@version
	Loader  string // incarnation of the instance that ordered the load
	Serial  uint64 // of the load, unique within that incarnation
}

// ParseHandle parses the text form, adapter#loader.serial. A text without a loader,
// such as that of a copy that an operator loaded manually, has an empty Loader.
func ParseHandle(text string) Handle {
	adapter, rest, _ := strings.Cut(text, "#")
	loader, digits, _ := strings.Cut(rest, ".")
	serial, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return Handle{Adapter: adapter, Loader: rest}
	}
	return Handle{Adapter: adapter, Loader: loader, Serial: serial}
}

// String returns the text form, adapter#loader.serial, or the adapter name alone
// for a copy without a loader.
func (h Handle) String() string {
	if h.Loader == "" && h.Serial == 0 {
		return h.Adapter
	}
	if h.Serial == 0 {
		return h.Adapter + "#" + h.Loader
	}
	return h.Adapter + "#" + h.Loader + "." + strconv.FormatUint(h.Serial, 10)
}
