package matcher_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
)

func ExampleCatalog_Match() {
	c := matcher.Catalog{Routes: []matcher.Route{
		{Name: "all", Host: "desk.example", Prefix: "/"},
		{Name: "records", Host: "desk.example", Prefix: "/records/"},
	}}
	route, _ := c.Match("desk.example", "/records/7")
	fmt.Println(route.Name)
	// Output: records
}

func TestMatch(t *testing.T) {
	c := matcher.Catalog{Routes: []matcher.Route{
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "flat", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}}
	for _, tc := range []struct{ name, host, path, want string }{
		{"longest prefix", "a.example", "/x/y/z", "deep"},
		{"shorter prefix", "a.example", "/x/z", "flat"},
		{"prefix ends at a slash", "a.example", "/xy", ""},
		{"host in capitals with a port", "B.Example:80", "/x/", "other"},
		{"unknown host", "c.example", "/x/", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := ""
			if route, ok := c.Match(tc.host, tc.path); ok {
				got = route.Name
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestServiceSplitIsWeightedAndStablePerRequest(t *testing.T) {
	r := matcher.Route{Shares: []matcher.WeightedService{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	count := map[string]int{}
	for i := range 10000 {
		id := fmt.Sprint(i)
		first := r.Service(id)
		count[first]++
		if again := r.Service(id); again != first {
			t.Fatalf("request %s moved", id)
		}
	}
	if count["new"] < 800 || count["new"] > 1200 {
		t.Errorf("new got %d of 10000, want about 1000", count["new"])
	}
	if got := (&matcher.Route{}).Service("x"); got != "" {
		t.Errorf("route without services returned %q", got)
	}
}
