package resumer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/resumer"
)

func ExampleLedger() {
	var l resumer.Ledger
	now := time.Now()
	key := resumer.KeyOf("account", "service", "attempt-1")
	l.Add([]resumer.Record{{Key: key, Version: "v1", Left: 20 * time.Second}}, now)
	fmt.Println(l.Find(key, now.Add(time.Second)))
	// Output: v1 true
}

// Guards against a stream whose version changes, or is forgotten while its caller may take it up.
func TestLedgerKeepsTheFirstVersion(t *testing.T) {
	now := time.Now()
	key := resumer.KeyOf("", "llm", "q1")
	type found struct {
		Version string
		Known   bool
	}
	for _, tc := range []struct {
		name    string
		records []resumer.Record // a second apart
		after   time.Duration    // of the first record
		want    found
	}{
		{"known", []resumer.Record{{Key: key, Version: "v1", Left: 5 * time.Second}}, 4 * time.Second, found{"v1", true}},
		{"expired", []resumer.Record{{Key: key, Version: "v1", Left: 5 * time.Second}}, 5 * time.Second, found{"v1", false}},
		{"extended", []resumer.Record{{Key: key, Version: "v1", Left: 5 * time.Second}, {Key: key, Version: "v1", Left: 9 * time.Second}}, 9 * time.Second, found{"v1", true}},
		{"never shortened", []resumer.Record{{Key: key, Version: "v1", Left: 5 * time.Second}, {Key: key, Version: "v1", Left: time.Second}}, 4 * time.Second, found{"v1", true}},
		{"another version later", []resumer.Record{{Key: key, Version: "v1", Left: 5 * time.Second}, {Key: key, Version: "v2", Left: 5 * time.Second}}, 3 * time.Second, found{"v1", true}},
		{"bounded", []resumer.Record{{Key: key, Version: "v1", Left: time.Hour}}, resumer.MaxLeft, found{"v1", false}},
		{"unknown", nil, 0, found{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var l resumer.Ledger
			for n, r := range tc.records {
				l.Add([]resumer.Record{r}, now.Add(time.Duration(n)*time.Second))
			}
			version, known := l.Find(key, now.Add(tc.after))
			if diff := cmp.Diff(tc.want, found{version, known}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against records that use up the memory of an instance.
func TestLedgerIsBounded(t *testing.T) {
	l := resumer.Ledger{Limit: 100}
	now := time.Now()
	for n := range 1000 {
		l.Add([]resumer.Record{{Key: resumer.KeyOf("", "llm", fmt.Sprint(n)), Left: time.Minute}}, now)
	}
	if diff := cmp.Diff(100, l.Len()); diff != "" {
		t.Error(diff)
	}
}

// Guards against callers that learn of a stream of another account by naming its ID.
func TestKeyDependsOnAccountAndService(t *testing.T) {
	keys := make(map[resumer.Key]bool)
	for _, parts := range [][3]string{{"a", "s", "q"}, {"b", "s", "q"}, {"a", "t", "q"}, {"a", "s", "r"}, {"as", "", "q"}, {"", "as", "q"}} {
		keys[resumer.KeyOf(parts[0], parts[1], parts[2])] = true
	}
	if len(keys) != 6 {
		t.Errorf("%d different keys, want 6", len(keys))
	}
}
