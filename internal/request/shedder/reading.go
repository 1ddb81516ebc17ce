package shedder

import "time"

// A Resource is what an instance may be short of.
type Resource string

// The resources.
const (
	None        Resource = ""
	Processor   Resource = "processor"
	Link        Resource = "link"
	Descriptors Resource = "descriptors"
	Memory      Resource = "memory"
	Reach       Resource = "reach" // of runners, and of other instances
)

// A Reading is how far the resources of an instance were used within a time.
type Reading struct {
	Processor   time.Duration // for which work that was ready waited
	Probe       time.Duration // that a small piece of work takes while nothing waits; 0 if unknown
	Link        time.Duration // for which bytes wait before the link
	LinkUse     float64       // fraction of the link that was in use for what was received
	Descriptors float64       // fraction in use
	Memory      float64       // fraction in use
	Isolated    bool          // neither runners nor other instances are reached, so that no request can be served
}

const (
	// maxWait is the wait from which a resource is short. A request waits some eight times before it is answered.
	maxWait = 30 * time.Millisecond
	// maxProbes is how many probes the wait for the processor may be in place of maxWait where that is more, up to
	// maxSlowWait: on a slow processor the work of a single request takes longer than maxWait, and the processor would idle if
	// none waited.
	maxProbes   = 600
	maxSlowWait = 250 * time.Millisecond
	// maxLinkUse is the fraction of the link in use from which it is short.
	maxLinkUse = 0.9
	// maxUse is the fraction in use from which a resource is short that ends requests, or the process, when it
	// is used up.
	maxUse = 0.75
)

// Short returns a resource that the instance is short of, or None.
func (r Reading) Short() Resource {
	switch {
	case r.Memory > maxUse:
		return Memory
	case r.Descriptors > maxUse:
		return Descriptors
	case r.Processor > r.maxProcessorWait():
		return Processor
	case r.Link > maxWait, r.LinkUse > maxLinkUse:
		return Link
	}
	return None
}

// maxProcessorWait returns the wait from which the processor is short.
func (r Reading) maxProcessorWait() time.Duration {
	return max(maxWait, min(maxProbes*r.Probe, maxSlowWait))
}

// passes reports whether a shortage may be over at the next reading without any fewer requests.
func (r Resource) passes() bool { return r == Processor || r == Link }

// kept returns the fraction of its requests that an instance with this reading keeps. It is the smaller the more it is short.
func (r Reading) kept() float64 {
	excess := max(float64(r.Processor)/float64(r.maxProcessorWait()), float64(r.Link)/float64(maxWait), r.LinkUse/maxLinkUse, r.Descriptors/maxUse, r.Memory/maxUse)
	return min(maxKept, max(minKept, 1/excess))
}
