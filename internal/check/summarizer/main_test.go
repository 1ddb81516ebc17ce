package main

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a process that dies without a word about the tests it was running, and against
// failures that are lost from the output.
func TestSummarize(t *testing.T) {
	for _, tc := range []struct {
		name, in, want string
	}{
		{"passed", `
{"Action":"start","Package":"p"}
{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"output","Package":"p","Test":"TestA","Output":"=== RUN   TestA\n"}
{"Action":"output","Package":"p","Test":"TestA","Output":"--- PASS: TestA (0.00s)\n"}
{"Action":"pass","Package":"p","Test":"TestA"}
{"Action":"output","Package":"p","Output":"PASS\n"}
{"Action":"output","Package":"p","Output":"ok  \tp\t0.1s\n"}
{"Action":"pass","Package":"p"}`, "ok  \tp\t0.1s\n"},
		{"failed", `
{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"output","Package":"p","Test":"TestA","Output":"    a.go: passed\n"}
{"Action":"pass","Package":"p","Test":"TestA"}
{"Action":"run","Package":"p","Test":"TestB"}
{"Action":"output","Package":"p","Test":"TestB","Output":"=== RUN   TestB\n"}
{"Action":"output","Package":"p","Test":"TestB","Output":"    b.go: failed\n"}
{"Action":"fail","Package":"p","Test":"TestB"}
{"Action":"output","Package":"p","Output":"FAIL\tp\t0.1s\n"}
{"Action":"fail","Package":"p"}`, "    b.go: failed\nFAIL\tp\t0.1s\n"},
		{"died", `
{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"run","Package":"p","Test":"TestA/seed_1"}
{"Action":"pause","Package":"p","Test":"TestA/seed_1"}
{"Action":"run","Package":"p","Test":"TestA/seed_2"}
{"Action":"pause","Package":"p","Test":"TestA/seed_2"}
{"Action":"run","Package":"p","Test":"TestA/seed_3"}
{"Action":"pause","Package":"p","Test":"TestA/seed_3"}
{"Action":"run","Package":"q","Test":"TestQ"}
{"Action":"cont","Package":"p","Test":"TestA/seed_1"}
{"Action":"cont","Package":"p","Test":"TestA/seed_2"}
{"Action":"pass","Package":"p","Test":"TestA/seed_2"}
{"Action":"output","Package":"p","Test":"TestA/seed_2","Output":"ThreadSanitizer: CHECK failed\n"}
{"Action":"output","Package":"p","Output":"FAIL\tp\t0.1s\n"}
{"Action":"fail","Package":"p"}`, "ThreadSanitizer: CHECK failed\nFAIL\tp\t0.1s\nDIED\tp\twhile it ran TestA/seed_1\n"},
		{"not built", `
{"ImportPath":"p","Action":"build-output","Output":"p.go:1: undefined: x\n"}
{"ImportPath":"p","Action":"build-fail"}
{"Action":"output","Package":"p","Output":"FAIL\tp [build failed]\n"}
{"Action":"fail","Package":"p","FailedBuild":"p"}`, "p.go:1: undefined: x\nFAIL\tp [build failed]\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out strings.Builder
			if err := summarize(strings.NewReader(strings.TrimSpace(tc.in)), &out); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tc.want, out.String()); diff != "" {
				t.Errorf("summary (-want +got):\n%s", diff)
			}
		})
	}
}
