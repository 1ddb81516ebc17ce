package relayer_test

import (
	"encoding/hex"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/gauger"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// Guards against bytes for paces in the messages of a deployment whose runners state none, and
// against a change of the fields that other versions read. The messages without paces were encoded
// with commit dcdab90, which knows no paces.
func TestPacesOnTheWire(t *testing.T) {
	loads := map[string]tracker.Load{"r": {Running: 2, PrefillTokens: 300}}
	uses := []relayer.CopyUse{{Runner: "r", Copy: placer.Copy{Model: "m", Adapter: "a", Version: 1}, Requests: 1, Age: 5}}
	for _, tc := range []struct {
		name    string
		message relayer.Message
		want    string
	}{
		{
			"demand without paces",
			relayer.Demand{Domain: "a", Loads: loads, ShortGaps: 3, LongGaps: 1, Uses: uses, Hits: uses},
			"a601a16172820219012c0381846172a301616d026161030101050561610681846172a301616d0261610301010508030901",
		},
		{"demand", relayer.Demand{Domain: "a", Paces: []relayer.Pace{{Runner: "r", Percent: 70, Age: 2}}}, "a20561610c81836172184602"},
		{
			"update without paces",
			relayer.News{Members: 1, HasLoads: true, Loads: loads, Acting: true, Limits: []relayer.RunnerLimit{{}}},
			"a803a16172820219012c040107f50aa5016002600300040005f40df50f8200001818820000181981a201600400",
		},
		{
			"update",
			relayer.News{Members: 1, Paces: []relayer.RunnerPace{{Runner: "r", Usual: 70, Mean: 86, Percent: 175, Age: 2}}},
			"a504010aa5016002600300040005f40f8200001818820000181b818561721846185618af02",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			data, err := encoder.Marshal(tc.message)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, hex.EncodeToString(data)); diff != "" {
				t.Errorf("encoded (-want +got):\n%s", diff)
			}
			decoded := reflect.New(reflect.TypeOf(tc.message))
			if err := encoder.Unmarshal(data, decoded.Interface()); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.message, decoded.Elem().Interface()); diff != "" {
				t.Errorf("decoded (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a statement from the future, which would supersede all later ones.
func TestAgeOfPace(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for age, want := range map[time.Duration]time.Time{time.Second: now.Add(-time.Second), 0: now, -time.Hour: now} {
		got := relayer.Pace{Runner: "r", Percent: 70, Age: age}.Statement(now)
		if diff := cmp.Diff(gauger.Statement{At: want, Percent: 70}, got); diff != "" {
			t.Errorf("age %s (-want +got):\n%s", age, diff)
		}
	}
}
