package shedder

import "time"

// A LinkQueue estimates how long bytes wait before a link of known bandwidth. The kernel buffers what the link does not
// carry, and the balance of what was written and what it can have carried since is the queue. The zero value is
// ready; it is not safe for concurrent use.
type LinkQueue struct {
	Bandwidth float64 // in bytes a second; 0 if unknown

	last    time.Time
	sent    int64
	waiting float64 // bytes
}

// Observe takes the number of bytes that were written so far and returns how long the last of them waits. It is 0 if the
// bandwidth is unknown.
func (q *LinkQueue) Observe(sent int64, now time.Time) time.Duration {
	if q.Bandwidth <= 0 {
		return 0
	}
	if !q.last.IsZero() {
		q.waiting = max(0, q.waiting+float64(sent-q.sent)-q.Bandwidth*now.Sub(q.last).Seconds())
	}
	q.last, q.sent = now, sent
	return time.Duration(q.waiting / q.Bandwidth * float64(time.Second))
}

// A LinkUse measures which part of the bandwidth of a link was used by what was received. That is no queue of this process: what
// the link does not carry waits before it, and all else that is received with it. The zero value is ready; it is not safe for
// concurrent use.
type LinkUse struct {
	Bandwidth float64 // in bytes a second; 0 if unknown

	last     time.Time
	received int64
}

// Observe takes the number of bytes that were received so far and returns the fraction of the bandwidth that they used since the
// last call. It is 0 if the bandwidth is unknown.
func (u *LinkUse) Observe(received int64, now time.Time) float64 {
	elapsed, bytes := now.Sub(u.last).Seconds(), received-u.received
	first := u.last.IsZero()
	u.last, u.received = now, received
	if first || u.Bandwidth <= 0 || elapsed <= 0 {
		return 0
	}
	return float64(bytes) / elapsed / u.Bandwidth
}
