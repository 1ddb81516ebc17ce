// Package seeder fixes the seeds of random tests, so that every run reaches
// the same verdict. A seed given on the command line is kept.
package seeder

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the rapid.seed flag
)

// seed is the seed of every random test unless another is asked for.
const seed = "20260101"

// Main runs a package's tests with the fixed seed. Call it from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	if !given("rapid.seed") {
		if err := flag.Set("rapid.seed", seed); err != nil {
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
