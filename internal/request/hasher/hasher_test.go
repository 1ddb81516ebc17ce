package hasher_test

import (
	"fmt"
	"testing"

	"github.com/sardinetiller/sardinetiller/internal/request/hasher"
)

func ExampleOf() {
	fmt.Println(hasher.Of("a", "bc") == hasher.Of([]byte("a"), []byte("bc")))
	// Output: true
}

// Guards against values that are taken for each other as their parts end at different places.
func TestSumsDependOnWherePartsEnd(t *testing.T) {
	seen := make(map[hasher.Sum][]string)
	for _, parts := range [][]string{{"ab", "c"}, {"a", "bc"}, {"abc"}, {"abc", ""}, {"", "abc"}} {
		if other, known := seen[hasher.Of(parts...)]; known {
			t.Errorf("%q has the sum of %q", parts, other)
		}
		seen[hasher.Of(parts...)] = parts
	}
}
