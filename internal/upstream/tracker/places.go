package tracker

import "time"

// Places are the requests at one runner of a plain service, as whoever gives out its places
// counts them. The zero value is ready; they are not safe for concurrent use.
type Places struct {
	inside int
	run    float64 // seconds that a request runs which has a slot at once
}

// An Entry is one request that was counted in.
type Entry struct {
	began time.Time
	ahead int // requests that were there before it
}

// Wait returns how long one more request waits for a slot.
func (p *Places) Wait(slots int) time.Duration {
	if slots <= 0 || p.inside < slots {
		return 0
	}
	return time.Duration(float64(p.inside-slots+1) / float64(slots) * p.mean() * float64(time.Second))
}

// Enter counts a request in.
func (p *Places) Enter(now time.Time) Entry {
	e := Entry{began: now, ahead: p.inside}
	p.inside++
	return e
}

// Leave counts a request out. Only of one that had a slot at once is it known how long it ran:
// what others waited would make the runner look slower, and it would be refused the more.
func (p *Places) Leave(e Entry, slots int, now time.Time) {
	p.inside--
	if e.ahead >= slots {
		return
	}
	p.run = p.mean() + runStep*(now.Sub(e.began).Seconds()-p.mean())
}

func (p *Places) mean() float64 {
	if p.run == 0 {
		return firstRun
	}
	return p.run
}
