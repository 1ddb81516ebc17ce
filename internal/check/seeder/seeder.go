// Package seeder sets a fixed seed and run count for property-based tests, so
// that their results are reproducible. Flags on the command line take precedence.
package seeder

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the rapid.seed flag
)

// defaults are the flags of package rapid that are set unless given. Its default
// of 100 runs is too few: it took 155 runs to find a fault in which an owner
// adopts copies of its successor.
var defaults = map[string]string{"rapid.checks": "500", "rapid.seed": "20260101"}

// Main runs a package's tests with the default flags. Call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range defaults {
		if isSet(name) {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func isSet(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}
