package resumer

import (
	"sync"
	"time"
)

// A Record states at which software version a stream began.
type Record struct {
	_       struct{} `cbor:",toarray"`
	Key     Key
	Version string
	Left    time.Duration // how much longer its caller may take it up
}

const (
	// MaxLeft bounds how long a stream is remembered, whatever its caller states.
	MaxLeft = 10 * time.Minute
	// defaultLimit bounds the size of a ledger to some megabytes.
	defaultLimit = 1 << 15
	// evictionSample is how many entries are compared to evict one.
	evictionSample = 8
	// expiryInterval is how often expired entries are dropped.
	expiryInterval = time.Second
)

// A Ledger holds the records known to one instance. Its zero value is ready; it is safe for
// concurrent use.
type Ledger struct {
	Limit int // maximum number of records; 0 means defaultLimit

	mu        sync.Mutex
	entries   map[Key]entry
	expiredAt time.Time // when expired entries were last dropped
}

type entry struct {
	version string
	until   time.Time
}

// Add adds records. A stream keeps the version of its first record; a later one only extends the
// time for which it is remembered.
func (l *Ledger) Add(records []Record, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries == nil {
		l.entries = make(map[Key]entry)
	}
	l.expire(now)
	for _, r := range records {
		until := now.Add(min(r.Left, MaxLeft))
		e, known := l.entries[r.Key]
		if !known || !now.Before(e.until) {
			e = entry{version: r.Version}
		}
		if until.After(e.until) {
			e.until = until
		}
		l.entries[r.Key] = e
	}
	limit := l.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	for len(l.entries) > limit {
		l.evict()
	}
}

// Find returns the software version at which a stream began; ok is false if it is not known.
func (l *Ledger) Find(k Key, now time.Time) (version string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[k]
	return e.version, ok && now.Before(e.until)
}

// Len returns the number of records.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

func (l *Ledger) expire(now time.Time) {
	if now.Sub(l.expiredAt) < expiryInterval {
		return
	}
	l.expiredAt = now
	for k, e := range l.entries {
		if !now.Before(e.until) {
			delete(l.entries, k)
		}
	}
}

// evict drops, of a few records, the one that expires first: its stream has most likely ended.
func (l *Ledger) evict() {
	var first Key
	var until time.Time
	n := 0
	for k, e := range l.entries {
		if n == 0 || e.until.Before(until) {
			first, until = k, e.until
		}
		if n++; n == evictionSample {
			break
		}
	}
	delete(l.entries, first)
}
