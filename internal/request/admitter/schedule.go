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
	Extensions Extensions

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
	Extension   time.Duration // how much later it may be done, as far as Extensions allows it; 0 for none
}

// burstFraction is the fraction of a maximum gap that a runner may spend on prefill beyond
// its share, per unit of the share. With initialShare it then prefills for at most 0.8 of
// one such gap; the rest is for the tokens of an event.
const burstFraction = 0.6

// Add records that a prompt is sent to the runner at a time.
func (s *PrefillSchedule) Add(p Prompt, sent time.Time) {
	if s.busyUntil.Before(sent) {
		s.busyUntil = sent
	}
	s.busyUntil = s.busyUntil.Add(p.PrefillTime)
	if s.pacedUntil.Before(sent) {
		s.pacedUntil = sent
	}
	s.pacedUntil = s.pacedUntil.Add(time.Duration(float64(p.PrefillTime) / p.share()))
}

// Delay returns how long to delay a prompt so that the requests running there tolerate its
// prefill and a slot is free, whatever its time limit.
func (s *PrefillSchedule) Delay(p Prompt, now time.Time) time.Duration {
	if p.MaxGap == 0 {
		return p.SlotWait
	}
	ahead := max(0, s.pacedUntil.Sub(now)) // limited first: the zero time is long ago
	return max(p.SlotWait, ahead-time.Duration(burstFraction*p.share()*float64(p.MaxGap)))
}

// Reserve returns how long to delay the request. If its prefill would be late, ok is false,
// nothing is reserved, and wait is by how much it would be late.
func (s *PrefillSchedule) Reserve(p Prompt, now time.Time) (wait time.Duration, ok bool) {
	wait = s.Delay(p, now)
	before := max(wait, s.busyUntil.Sub(now))
	late := before + p.PrefillTime - p.Timeout
	if over := max(late-p.Extension, s.Extensions.Wait(p, now)); late > 0 && over > 0 {
		return min(late, over), false
	}
	s.Extensions.Add(p, now)
	s.Add(p, now.Add(wait))
	return wait, true
}

// share returns the share of the prompt, or the initial one if it is unknown.
func (p *Prompt) share() float64 {
	if p.Share == 0 {
		return initialShare
	}
	return p.Share
}

// Backlog returns how long the prefill of the reserved prompts still takes.
func (s *PrefillSchedule) Backlog(now time.Time) time.Duration { return max(0, s.busyUntil.Sub(now)) }
