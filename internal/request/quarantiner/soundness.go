package quarantiner

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// SoundAfter is how long a run must have written its response for the parts of its prompt to
	// be sound: one that crashes runners does so as a run begins to write.
	SoundAfter = 500 * time.Millisecond
	// soundMemory is how long a part counts as sound after its last sound run.
	soundMemory = 30 * time.Second
	// soundLimit bounds the parts in a generation. A prompt has up to some 1,400.
	soundLimit = 1 << 16
)

// A Soundness holds the parts of prompts that runs with them have shown to be sound. Most requests
// of a service share the first part, so that it is in most of the runs that break off when a runner
// crashes; counts of crashes alone would quarantine it first.
//
// It keeps two generations and drops the older one when the newer one is full or old, so that it is
// bounded by parts that are observed once, and those that requests share are observed again in time. Its
// zero value is ready; it is safe for concurrent use.
type Soundness struct {
	mu       sync.Mutex
	began    time.Time              // of the current generation
	current  map[partHash]time.Time // when each part was last sound
	previous map[partHash]time.Time
}

// A partHash identifies a part among those of a few minutes.
type partHash uint64

func hashOfPart(d Digest) partHash { return partHash(xxhash.Sum64String(string(d))) }

// Observe records that a run has shown parts to be sound.
func (s *Soundness) Observe(parts []Digest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || now.Sub(s.began) >= soundMemory || len(s.current)+len(parts) > soundLimit {
		s.previous, s.current, s.began = s.current, make(map[partHash]time.Time), now
	}
	for _, d := range parts {
		s.current[hashOfPart(d)] = now
	}
}

// Sound reports whether a part has been sound shortly before a crash, or since.
func (s *Soundness) Sound(d Digest, crash time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	hash := hashOfPart(d)
	at, known := s.current[hash]
	if !known {
		at, known = s.previous[hash]
	}
	return known && crash.Sub(at) < soundMemory
}
