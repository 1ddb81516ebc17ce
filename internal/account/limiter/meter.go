package limiter

import (
	"math"
	"time"
)

// A meter is a mean rate in which older use counts less and less.
type meter struct {
	rate float64 // tokens a second as of at
	at   time.Time
}

// meterTimeConstant is the age at which use counts for a third. Callers of an account send in
// clumps of about a second.
const meterTimeConstant = 2 * time.Second

func (m *meter) add(tokens float64, now time.Time) {
	m.rate = max(0, m.value(now)+tokens/meterTimeConstant.Seconds())
	m.at = now
}

func (m *meter) value(now time.Time) float64 {
	if m.rate == 0 {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.at).Seconds()/meterTimeConstant.Seconds())
}

// shareOf returns the share of a limit of a party that spends a part of all that is spent.
// Where next to nothing is spent nobody has one: it would be kept back for whoever spent
// last and has nothing more to say.
func shareOf(usage, total float64, l Limit) float64 {
	total = max(total, usage) + negligibleFraction*l.Rate
	if total <= 0 {
		return 0
	}
	return (1 - evenShare) * usage / total
}

// negligibleFraction is the part of a limit that counts as next to nothing.
const negligibleFraction = 0.02

// A bucket holds tokens that come at a rate, up to a most.
type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) fill(rate, capacity float64, now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.at = now
	}
	b.level = min(b.level, capacity)
}

// fits reports whether a request may be admitted. One that is larger than the burst is
// when nothing of the burst is used.
func fits(tokens int64, left float64, l Limit) bool {
	return float64(tokens) <= left || float64(tokens) > l.Burst && left >= almostFull*l.Burst
}

// almostFull is the part of a burst that counts as all of it: figures of several
// instances never add up to the last token.
const almostFull = 0.98
