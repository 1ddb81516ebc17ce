package parser_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/setting/parser"
	"github.com/sardinetiller/sardinetiller/internal/setting/resolver"
)

// keyHash is the SHA-256 of "desk-key".
const keyHash = "d1e4a3ba35a2b25d3fb1d3f23a4e4bf5b4a0d29c9fbfd1c1a16e0d70b2bf0a3a"

func validFiles() map[string][]byte {
	return map[string][]byte{
		"root.yaml": []byte("kind: root\nvalues:\n  deadline: 10s\n  stall: 1\nweights:\n  rate: 3\n  together: 1\n"),
		"exit.yaml": []byte("kind: service\nname: exit-llm\ntype: engine\nupstreams:\n  - {name: r1, domain: a, address: \"127.0.0.1:1\", slots: 4, batch: 8}\n"),
		"gujarat.yaml": []byte("kind: account\nname: gujarat\nkeys:\n  - hash: " + keyHash + "\nvalues:\n  queue: 64\n" +
			"services:\n  - name: exit-llm\n    domains:\n      - name: a\n        values: {deadline: 5s}\n        desks:\n          - name: gate\n            values: {deadline: 2s}\n" +
			"adapters:\n  - {name: mill, count: 3000, versions: [1, 2], service: exit-llm, base: b}\n  - {name: port, versions: [1], service: exit-llm, base: b}\n"),
	}
}

func newResolver(t *testing.T) *resolver.Resolver {
	t.Helper()
	tree, err := parser.Parse(validFiles())
	if err != nil {
		t.Fatal(err)
	}
	return resolver.New(tree)
}

func TestInnerLevelsOverrideOuterOnes(t *testing.T) {
	r := newResolver(t)
	for _, tc := range []struct{ account, domain, desk, deadline, level string }{
		{"other", "a", "", "10s", "root"},
		{"gujarat", "b", "", "10s", "root"},
		{"gujarat", "a", "", "5s", "domain a"},
		{"gujarat", "a", "gate", "2s", "desk gate"},
	} {
		for _, o := range r.Explain(tc.account, "exit-llm", tc.domain, tc.desk) {
			if o.Field == "deadline" {
				want := resolver.Origin{Field: "deadline", Value: tc.deadline, Level: tc.level}
				if diff := cmp.Diff(want, o); diff != "" {
					t.Error(diff)
				}
			}
		}
	}
}

func TestAdapterAcceptsDeclaredVersionsOnly(t *testing.T) {
	r := newResolver(t)
	for model, want := range map[string]bool{
		"mill-0@1": true, "mill-2999@2": true, "port@1": true,
		"mill-3000@1": false, "mill-01@1": false, "mill-1@3": false, "mill@1": false,
		"mill-1": false, "mill-1@": false, "mill-1@01": false, "mill--1@1": false,
	} {
		if _, ok := r.Adapter(model); ok != want {
			t.Errorf("Adapter(%q) = %v, want %v", model, ok, want)
		}
	}
}

// Invalid input gives an error that names file, line, field and fix.
func TestParseErrorsNameFileLineFieldAndFix(t *testing.T) {
	for _, tc := range []struct{ name, file, from, to, want string }{
		{"unknown field", "root.yaml", "stall: 1", "stal: 1", "root.yaml:4: stal: unknown field"},
		{"wrong type", "root.yaml", "rate: 3", "rate: fast", "root.yaml:6: fast: "},
		{"negative", "root.yaml", "stall: 1", "stall: -1", "root.yaml:4: values.stall: -1 is too small; write at least 0"},
		{"slots", "exit.yaml", "slots: 4", "slots: 0", "exit.yaml:5: upstreams[0].slots: slots is 0; write how many"},
		{"unknown service", "gujarat.yaml", "service: exit-llm", "service: exit", `gujarat.yaml:16: adapters[0].service: service "exit" is not declared`},
		{"key", "gujarat.yaml", keyHash, "secret", "gujarat.yaml:4: keys[0].hash: not a SHA-256"},
		{"kind", "exit.yaml", "kind: service", "kind: servce", `exit.yaml:1: kind: kind is "servce"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := validFiles()
			f[tc.file] = []byte(strings.Replace(string(f[tc.file]), tc.from, tc.to, 1))
			_, err := parser.Parse(f)
			var invalid *parser.InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("Parse = %v, want *InvalidError", err)
			}
			if !strings.Contains(invalid.Error(), tc.want) {
				t.Errorf("got:\n%v\nwant a line containing:\n%s", invalid, tc.want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, data := range validFiles() {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := parser.Parse(map[string][]byte{"x.yaml": data})
		if err == nil {
			resolver.New(tree).Explain("a", "b", "c", "d")
		}
	})
}
