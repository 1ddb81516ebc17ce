package keeper_test

import (
	"testing"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
)

// Engine and keeper identify a copy by the text form. Guards against a text that
// changes when it is parsed and formatted, as it would then denote two copies.
func TestHandleRoundTrip(t *testing.T) {
	for _, text := range []string{"x@1#a-1-0f.3", "x@1#a", "x@1", "x@1#a.b"} {
		if got := keeper.ParseHandle(text).String(); got != text {
			t.Errorf("%q formatted as %q", text, got)
		}
	}
}

func FuzzHandle(f *testing.F) {
	f.Add("x@1#a-1-0f.3")
	f.Add("x@1#.0")
	f.Fuzz(func(t *testing.T, text string) {
		handle := keeper.ParseHandle(text)
		if again := keeper.ParseHandle(handle.String()); again != handle {
			t.Errorf("%q: %+v parsed again as %+v", text, handle, again)
		}
	})
}
