// Package seeder fixes the seeds and the number of random tests, so that every
// run reaches the same verdict. What is given on the command line is kept.
package seeder

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the rapid.seed flag
)

// defaults are the flags of random tests unless others are given. The library's
// own 100 runs were too few: an owner that adopts its successor's copies was
// found after 155.
var defaults = map[string]string{"rapid.checks": "500", "rapid.seed": "20260101"}

// Main runs a package's tests with the fixed flags. Call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range defaults {
		if given(name) {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func given(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}
