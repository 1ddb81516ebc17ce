package tracker

import "time"

// A latencyModel describes the latency of the runners of a service, estimated from observed
// requests. Where runners state their pace, it is that of a runner with the mean pace.
//
// The time to the first token grows with the prompts before it, of which an instance
// knows only a part. A mean or a linear regression over all observations therefore
// makes runners look faster than they are. The median over long prompts does not, as the
// unknown part is small there compared with the known one.
type latencyModel struct {
	base    float64 // seconds to the first token of a short prompt on an idle runner
	prefill float64 // seconds of prefill per prompt token
	run     float64 // seconds of a complete request
}

const (
	// runWeight is the weight of a new observation in the mean run time.
	runWeight = 0.05
	// initialPrefill is the initial prefill time, in seconds per prompt token: that of
	// an engine for large models.
	initialPrefill = 30e-6
	// minPrefill and maxPrefill bound the estimate, as a few outliers could otherwise
	// make a runner look idle or overloaded.
	minPrefill = 5e-6
	maxPrefill = 200e-6
	// longPrompt is the number of prompt tokens from which an observation adjusts
	// the prefill time: their prefill takes longer than the base.
	longPrompt = 1500
	// prefillStep is the relative change of the prefill time per observation.
	prefillStep = 0.02
	// baseIncrease and baseDecrease are the relative changes of the base per observation.
	// With a ratio of 1 to 9 it converges so that nine in ten responses take longer.
	baseIncrease = 0.001
	baseDecrease = 0.009
	// initialBase is the initial base, in seconds.
	initialBase = 0.03
	// initialRun is the initial run time, in seconds.
	initialRun = 0.1
)

func newLatencyModel() *latencyModel {
	return &latencyModel{base: initialBase, prefill: initialPrefill, run: initialRun}
}

// prefillTime returns the estimated prefill time of a prompt.
func (m *latencyModel) prefillTime(tokens int) time.Duration {
	return time.Duration(m.prefill * float64(tokens) * float64(time.Second))
}

// firstToken returns the estimated time to the first token of a prompt on an idle runner.
func (m *latencyModel) firstToken(tokens int) time.Duration {
	return time.Duration(m.base*float64(time.Second)) + m.prefillTime(tokens)
}

// observeFirstToken records the time to the first token, with the prompt tokens before it.
func (m *latencyModel) observeFirstToken(tokens int, after time.Duration) {
	seconds := after.Seconds()
	if tokens < longPrompt {
		if seconds-m.prefill*float64(tokens) > m.base {
			m.base *= 1 + baseIncrease
		} else {
			m.base *= 1 - baseDecrease
		}
		return
	}
	if (seconds-m.base)/float64(tokens) > m.prefill {
		m.prefill = min(maxPrefill, m.prefill*(1+prefillStep))
	} else {
		m.prefill = max(minPrefill, m.prefill/(1+prefillStep))
	}
}

// observeRun records the run time of a request.
func (m *latencyModel) observeRun(d time.Duration) {
	m.run += runWeight * (d.Seconds() - m.run)
}
