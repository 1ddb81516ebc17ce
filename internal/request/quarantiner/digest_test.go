package quarantiner_test

import (
	"fmt"
	"testing"

	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
)

func ExampleDigestOf() {
	fmt.Println(quarantiner.DigestOf("desk.example", "POST", "/summary/1?short", []byte("text")))
	// Output: 3ec448017a487a4222edb28ce265cdf1
}

func ExampleDigestOfPart() {
	fmt.Println(quarantiner.DigestOfPart("llm", "a1"))
	// Output: part-175441af82235e90862992edef98c18c
}

// Guards against requests that share a digest although they differ in one part, or only in
// where a part ends: if one crashes runners, the other would be rejected too.
func TestDifferentRequestsHaveDifferentDigests(t *testing.T) {
	seen := make(map[quarantiner.Digest]string)
	for _, parts := range [][4]string{
		{"a", "POST", "/x", "body"},
		{"b", "POST", "/x", "body"},
		{"a", "PUT", "/x", "body"},
		{"a", "POST", "/x?q", "body"},
		{"a", "POST", "/x", "other"},
		{"a", "POST", "/xb", "ody"},
		{"aP", "OST", "/x", "body"},
	} {
		d := quarantiner.DigestOf(parts[0], parts[1], parts[2], []byte(parts[3]))
		if other, known := seen[d]; known {
			t.Errorf("%q has the digest of %s", parts, other)
		}
		seen[d] = fmt.Sprint(parts)
	}
}
