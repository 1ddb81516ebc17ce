package quarantiner

import (
	"sync"
	"time"
)

const (
	// SoundAfter is how long a run must have written its response for the parts of its prompt to
	// be sound: one that crashes runners does so as a run begins to write.
	SoundAfter = 500 * time.Millisecond
	// soundMemory is how long a part counts as sound after its last sound run.
	soundMemory = 30 * time.Second
	// soundLimit bounds the parts that are remembered.
	soundLimit = 1 << 14
)

// A Soundness holds the parts of prompts that runs with them have shown to be sound. Most requests
// of a service share the first part, so that it is in most of the runs that break off when a runner
// crashes; counts of crashes alone would quarantine it first. Its zero value is ready; it is safe
// for concurrent use.
type Soundness struct {
	mu      sync.Mutex
	soundAt map[Digest]time.Time
}

// Observe records that a run has shown parts to be sound.
func (s *Soundness) Observe(parts []Digest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.soundAt == nil {
		s.soundAt = make(map[Digest]time.Time)
	}
	for _, d := range parts {
		s.soundAt[d] = now
	}
	if len(s.soundAt) <= soundLimit {
		return
	}
	for d, at := range s.soundAt {
		if now.Sub(at) >= soundMemory {
			delete(s.soundAt, d)
		}
	}
	for d := range s.soundAt {
		if len(s.soundAt) <= soundLimit {
			return
		}
		delete(s.soundAt, d) // any one: it is observed again with its next sound run
	}
}

// Sound reports whether a part has been sound shortly before a crash, or since.
func (s *Soundness) Sound(d Digest, crash time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, known := s.soundAt[d]
	return known && crash.Sub(at) < soundMemory
}
