package relayer_test

import (
	"encoding/hex"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// Guards against requests for prefill capacity that leaders of the version before cannot decode, and against
// an extension that is lost on the way. The messages without one have the bytes of that version.
func TestExtensionsOnTheWire(t *testing.T) {
	copied := placer.Copy{Model: "m", Adapter: "a", Version: 1}
	for _, tc := range []struct {
		name    string
		message relayer.Message
		want    string
	}{
		{"reserve", relayer.Reserve{Domain: "a", Runner: "r", Copy: copied, Tokens: 10, MaxGap: 1000, Timeout: 2000}, "876061616172a301616d02616103010a1903e81907d0"},
		{"extended reserve", relayer.Reserve{Domain: "a", Runner: "r", Copy: copied, Tokens: 10, MaxGap: 1000, Timeout: 2000, Extension: 3}, "886061616172a301616d02616103010a1903e81907d003"},
		{"enqueue", relayer.Enqueue{Domain: "a", Runner: "r", Copy: copied, Tokens: 10, MaxGap: 1000, Timeout: 2000, Priority: 1, Account: "x"}, "896061616172a301616d02616103010a1903e81907d0016178"},
		{"extended enqueue", relayer.Enqueue{Domain: "a", Runner: "r", Copy: copied, Tokens: 10, MaxGap: 1000, Timeout: 2000, Priority: 1, Account: "x", Extension: 3}, "8a6061616172a301616d02616103010a1903e81907d001617803"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			data, err := encoder.Marshal(tc.message)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, hex.EncodeToString(data)); diff != "" {
				t.Error(diff)
			}
			decoded := reflect.New(reflect.TypeOf(tc.message))
			if err := encoder.Unmarshal(data, decoded.Interface()); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.message, decoded.Elem().Interface()); diff != "" {
				t.Error(diff)
			}
		})
	}
}
