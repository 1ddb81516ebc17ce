package limiter

import (
	"math"
	"time"
)

// A meter is an exponentially decaying mean rate.
type meter struct {
	rate float64 // tokens a second, as of at
	at   time.Time
}

// meterTimeConstant is the age at which use has decayed to about a third (1/e). It is longer
// than the bursts of about a second in which callers of an account send.
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

// shareOf returns the share of a limit for a reporter by its fraction of the total use. With
// next to no total use there is no share to give: it would be reserved for a reporter that
// spent last and sends no further updates.
func shareOf(usage, total float64, l Limit) float64 {
	total = max(total, usage) + negligibleFraction*l.Rate
	if total <= 0 {
		return 0
	}
	return (1 - evenShare) * usage / total
}

// negligibleFraction is the fraction of a limit that counts as next to no use.
const negligibleFraction = 0.02

// A bucket is a token bucket.
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

// fits reports whether a request may be admitted. A request larger than the burst is
// admitted when the burst is full.
func fits(tokens int64, left float64, l Limit) bool {
	return float64(tokens) <= left || float64(tokens) > l.Burst && left >= almostFull*l.Burst
}

// almostFull is the fraction of a burst that counts as full: the figures of several
// instances never add up to the last token.
const almostFull = 0.98
