package admitter

import "time"

// A PrefillSchedule is the schedule of the prompts that one runner has been sent for
// prefill. It is kept by the instance that sees all requests of the runner, so that the
// instances that send them need no coordination. Its zero value is ready.
//
// A runner interleaves prefill with the tokens of its running requests. While it prefills,
// each event of each running request is delayed by the prefill between its tokens, so a
// runner that prefills all the time makes all gaps exceed the maximum. Therefore the
// prefill time within one maximum gap is limited: a prompt is delayed until it fits, and
// refused if that is too late.
type PrefillSchedule struct {
	pacedUntil time.Time // when the prefill would end at the rate that the running requests tolerate
	busyUntil  time.Time // when the prefill ends
}

// A Prompt is the prompt of a request that is to be sent to a runner.
type Prompt struct {
	MaxGap      time.Duration // maximum gap between events of the running requests; 0 for no limit
	SlotWait    time.Duration // until a slot in the batch is free
	PrefillTime time.Duration // prefill time of the prompt
	Share       float64       // fraction of the time that the runner may spend on prefill; 0 if unknown
	Timeout     time.Duration // within which the prefill has to be done
}

// burstFraction is the fraction of a maximum gap that a runner may spend on prefill beyond
// its share, per unit of the share. With initialShare it then prefills for at most 0.8 of
// one such gap; the rest is for the tokens of an event.
const burstFraction = 0.6

// Reserve returns how long to delay the request. If its prefill would be late, ok is false,
// nothing is reserved, and wait is by how much it would be late.
func (s *PrefillSchedule) Reserve(p Prompt, now time.Time) (wait time.Duration, ok bool) {
	share := p.Share
	if share == 0 {
		share = initialShare
	}
	wait = p.SlotWait
	if p.MaxGap > 0 {
		ahead := max(0, s.pacedUntil.Sub(now)) // limited first: the zero time is long ago
		wait = max(wait, ahead-time.Duration(burstFraction*share*float64(p.MaxGap)))
	}
	before := max(wait, s.busyUntil.Sub(now))
	if late := before + p.PrefillTime - p.Timeout; late > 0 {
		return late, false
	}
	sent := now.Add(wait)
	s.busyUntil = now.Add(before + p.PrefillTime)
	if s.pacedUntil.Before(sent) {
		s.pacedUntil = sent
	}
	s.pacedUntil = s.pacedUntil.Add(time.Duration(float64(p.PrefillTime) / share))
	return wait, true
}

// Backlog returns how long the prefill of the reserved prompts still takes.
func (s *PrefillSchedule) Backlog(now time.Time) time.Duration { return max(0, s.busyUntil.Sub(now)) }
