package tracker

import "time"

// A pace is how fast the runners of a service work, from what was observed.
//
// The time to a first token grows with the prompts that were before it, of which
// an instance knows only a part. So the mean of what is observed, or a line
// through it, makes runners look faster than they are; the middle of the times
// of long prompts, where the unknown part is small beside the known one, does
// not.
type pace struct {
	base float64 // seconds to a first token of a short prompt on a free runner
	read float64 // seconds for a prompt token
	run  float64 // seconds that a request runs
}

const (
	// runStep is the weight of a new observation.
	runStep = 0.05
	// firstRead is the pace assumed before the first observations, in seconds a
	// prompt token: that of an engine for large models.
	firstRead = 30e-6
	// leastRead and mostRead bound what is learned: a few odd answers would else
	// make a runner look free or full.
	leastRead = 5e-6
	mostRead  = 200e-6
	// longPrompt is how many tokens have to be read for an observation of the
	// pace: reading them takes longer than the first token itself.
	longPrompt = 1500
	// readStep is by which part an observation moves the pace up or down.
	readStep = 0.02
	// baseUp and baseDown move the base so that nine in ten answers take longer.
	baseUp   = 0.001
	baseDown = 0.009
	// firstBase is the base before the first observation, in seconds.
	firstBase = 0.03
	// firstRun is the time that a request is assumed to run, in seconds.
	firstRun = 0.1
)

func newPace() *pace { return &pace{base: firstBase, read: firstRead, run: firstRun} }

// reading returns how long a prompt takes to be read.
func (p *pace) reading(tokens int) time.Duration {
	return time.Duration(p.read * float64(tokens) * float64(time.Second))
}

// saw takes in that the first token came after so many prompt tokens.
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

// ran takes in how long a request ran.
func (p *pace) ran(d time.Duration) {
	p.run += runStep * (d.Seconds() - p.run)
}
