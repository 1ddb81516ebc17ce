package tracker

import "time"

// A pace is a latency model of the runners of a service, estimated from observed
// requests.
//
// The time to the first token grows with the prompts before it, of which an instance
// knows only a part. A mean or a linear regression over all observations therefore
// makes runners look faster than they are. The median over long prompts does not, as the
// unknown part is small there compared with the known one.
type pace struct {
	base float64 // seconds to the first token of a short prompt on an idle runner
	read float64 // seconds of prefill per prompt token
	run  float64 // seconds of a whole request
}

const (
	// runStep is the weight of a new observation in the mean run time.
	runStep = 0.05
	// firstRead is the initial prefill time, in seconds per prompt token: that of
	// an engine for large models.
	firstRead = 30e-6
	// leastRead and mostRead bound the estimate, as a few outliers could otherwise
	// make a runner look idle or overloaded.
	leastRead = 5e-6
	mostRead  = 200e-6
	// longPrompt is the number of prompt tokens from which an observation adjusts
	// the prefill time: their prefill takes longer than the base.
	longPrompt = 1500
	// readStep is the relative change of the prefill time per observation.
	readStep = 0.02
	// baseUp and baseDown are the relative changes of the base per observation.
	// With a ratio of 1 to 9 it converges so that nine in ten answers take longer.
	baseUp   = 0.001
	baseDown = 0.009
	// firstBase is the initial base, in seconds.
	firstBase = 0.03
	// firstRun is the initial run time, in seconds.
	firstRun = 0.1
)

func newPace() *pace { return &pace{base: firstBase, read: firstRead, run: firstRun} }

// reading returns the estimated prefill time of a prompt.
func (p *pace) reading(tokens int) time.Duration {
	return time.Duration(p.read * float64(tokens) * float64(time.Second))
}

// saw records the time to the first token, with the prompt tokens before it.
func (p *pace) saw(tokens int, after time.Duration) {
	seconds := after.Seconds()
	if tokens < longPrompt {
		if seconds-p.read*float64(tokens) > p.base {
			p.base *= 1 + baseUp
		} else {
			p.base *= 1 - baseDown
		}
		return
	}
	if (seconds-p.base)/float64(tokens) > p.read {
		p.read = min(mostRead, p.read*(1+readStep))
	} else {
		p.read = max(leastRead, p.read/(1+readStep))
	}
}

// ran records the run time of a request.
func (p *pace) ran(d time.Duration) {
	p.run += runStep * (d.Seconds() - p.run)
}
