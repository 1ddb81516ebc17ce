package admitter

import "time"

// Extensions bounds the prompts that are admitted later than a new request would be.
//
// The prompt of a stream that its caller takes up has an extension of its time limit, as long as such prompts take
// no more than their share of the runner's time. Beyond it they have the limit of a new request, so that new
// requests are admitted whatever callers state. The zero value is ready.
type Extensions struct {
	until time.Time // when the prefill of the admitted prompts with an extension would end in their share
}

// extendedShare is the fraction of the runner's time up to which prompts may use their extension.
const extendedShare = 0.5

// Add records that a prompt is admitted, if it has an extension.
func (e *Extensions) Add(p Prompt, now time.Time) {
	if p.Extension == 0 {
		return
	}
	if e.until.Before(now) {
		e.until = now
	}
	e.until = e.until.Add(extendedTime(p))
}

// Wait returns how long it takes until a prompt may use its extension; 0 if it may now.
func (e *Extensions) Wait(p Prompt, now time.Time) time.Duration {
	ahead := max(0, e.until.Sub(now))
	return max(0, ahead+extendedTime(p)-p.Timeout-p.Extension)
}

// extendedTime returns the prefill time of a prompt in the share.
func extendedTime(p Prompt) time.Duration {
	return time.Duration(float64(p.PrefillTime) / extendedShare)
}
