package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
)

// BenchmarkSoundPrompt measures what a sound request costs on a day without crashes, by the parts of its prompt.
func BenchmarkSoundPrompt(b *testing.B) {
	for _, parts := range []int{3, 32, 1400} {
		b.Run(fmt.Sprint(parts), func(b *testing.B) {
			var ids []string
			for n := range parts {
				ids = append(ids, fmt.Sprintf("%08x", n))
			}
			var s quarantiner.Soundness
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				digests := make([]quarantiner.Digest, 0, len(ids))
				for _, id := range ids {
					digests = append(digests, quarantiner.DigestOfPart("llm", id))
				}
				now = now.Add(time.Millisecond)
				s.Observe(digests, now)
			}
		})
	}
}
