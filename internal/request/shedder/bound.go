package shedder

import (
	"sync"
	"time"
)

// A Bound limits how many requests an instance works on at a time, while it is short of a resource. The zero value
// sets no limit; it is safe for concurrent use.
//
// What a request costs, and what the instance has, need not be known: the limit falls until nothing is
// short, and rises while nothing is and requests are turned away.
type Bound struct {
	mu         sync.Mutex
	admittedAt time.Time // when a connection was last admitted
	full       bool      // the limit was reached, and is until there is room for some requests
	isolated   bool      // as of the last reading
	limit      int       // requests at a time; 0 for none
	short      Resource  // as of the last reading
	shortAt    time.Time // when a resource was last short
}

const (
	// minLimit is the lowest limit. Most of the time of a request is spent waiting for others.
	minLimit = 4
	// minKept and maxKept bound the fraction of its requests that an instance keeps when it is short of something. It
	// keeps the fewer the more it is short.
	minKept, maxKept = 0.5, 0.9
	// increase is the fraction by which the limit rises with each reading, and at least by one request.
	increase = 0.05
	// lastingShortage is how long the limit stays after the last shortage.
	lastingShortage = 5 * time.Second
	// room is the fraction of the limit down to which an instance that has reached it takes no connections: it takes the
	// next ones together, as callers that connect meanwhile and are not served send their requests in vain.
	room = 0.9
	// maxShut is how long an instance turns away all connections at most, unless their requests would be refused. The
	// requests in progress may wait for others, which is no reason to take none.
	maxShut = 500 * time.Millisecond
	// refusedExcess is how many times the limit the requests on kept connections may be. Beyond, they are refused: they
	// cannot be turned away unread.
	refusedExcess = 2
)

// Observe takes a reading of the resources, and the number of requests in progress. It is called at regular
// times.
func (b *Bound) Observe(r Reading, requests int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	short, before := r.Short(), b.short
	b.short, b.isolated = short, r.Isolated
	switch {
	case short != None:
		b.shortAt = now
		// A single reading may be that of a pause of the whole process. While there are more requests than the
		// limit, none is added, and the effect of the limit is not known yet.
		if b.limit == 0 && before == None && short.passes() || b.limit > 0 && requests > b.limit {
			return
		}
		b.limit = max(minLimit, int(r.kept()*float64(requests)))
	case b.limit == 0:
	case 2*requests < b.limit && now.Sub(b.shortAt) >= lastingShortage:
		b.limit = 0
	case 10*requests >= 9*b.limit:
		b.limit += max(1, int(increase*float64(b.limit)))
	}
}

// Admits reports whether a request on a new connection is taken on, beside those in progress.
func (b *Bound) Admits(requests int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.full = b.limit > 0 && (requests >= b.limit || b.full && requests > int(room*float64(b.limit)))
	if (b.full || b.isolated) && now.Sub(b.admittedAt) < maxShut || b.full && requests >= refusedExcess*b.limit {
		return false
	}
	b.admittedAt = now
	return true
}

// Releases reports whether connections are closed after the response, so that their callers' next requests may reach other
// instances: something is short, there are as many requests in progress as the instance bears, or it can serve none.
func (b *Bound) Releases(requests int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isolated || b.limit > 0 && (b.short != None || requests >= b.limit)
}

// Bears reports whether a request that has been read is handled. It is counted among those in progress.
func (b *Bound) Bears(requests int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit == 0 || requests <= refusedExcess*b.limit
}

// Limit returns the limit in force, 0 for none, and what the instance was short of at the last reading.
func (b *Bound) Limit() (requests int, short Resource) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isolated {
		return b.limit, Reach
	}
	return b.limit, b.short
}
