package admitter

import "time"

// A Timeline is when one runner reads the prompts that it was promised. Whoever
// sees all requests of a runner keeps it, so that those who send them need not
// know of each other. Its zero value is ready.
//
// A runner reads prompts between the tokens of its runs. While it reads, each
// event of each run takes as long as the reading between its tokens, so a runner
// that reads all the time makes all its runs pause beyond what their callers
// bear. So the time of reading within one pause is bounded: a prompt is held
// back until it fits, and refused if that is too late.
type Timeline struct {
	pacedUntil time.Time // when the reading would end at the pace that the runs bear
	busyUntil  time.Time // when it ends
}

// A Prompt is the prompt of a request that wants to go to a runner.
type Prompt struct {
	Pause  time.Duration // that its runs bear between events; 0 for no bound
	Queue  time.Duration // until a place in the batch is free
	Read   time.Duration // that its prompt takes
	Share  float64       // of the time that the runner may read; 0 if nothing was learned
	Within time.Duration // in which the reading has to be done
}

// burstFraction is the part of a pause that a runner may read beyond its share, for each
// unit of the share. With the least share it then reads for at most 0.8 of a
// pause within one; what is left is for the tokens of an event.
const burstFraction = 0.6

// Reserve returns how long the request is held back. If it would be too late,
// ok is false, nothing is reserved, and wait is the time by which it is.
func (t *Timeline) Reserve(p Prompt, now time.Time) (wait time.Duration, ok bool) {
	share := p.Share
	if share == 0 {
		share = initialShare
	}
	wait = p.Queue
	if p.Pause > 0 {
		ahead := max(0, t.pacedUntil.Sub(now)) // bounded first: the first time of all is long ago
		wait = max(wait, ahead-time.Duration(burstFraction*share*float64(p.Pause)))
	}
	before := max(wait, t.busyUntil.Sub(now))
	if late := before + p.Read - p.Within; late > 0 {
		return late, false
	}
	sent := now.Add(wait)
	t.busyUntil = now.Add(before + p.Read)
	if t.pacedUntil.Before(sent) {
		t.pacedUntil = sent
	}
	t.pacedUntil = t.pacedUntil.Add(time.Duration(float64(p.Read) / share))
	return wait, true
}

// Backlog returns how long the runner still reads.
func (t *Timeline) Backlog(now time.Time) time.Duration { return max(0, t.busyUntil.Sub(now)) }
