package forecaster

import "time"

// A Capacity describes the runners of a failure domain that hold one base model.
type Capacity struct {
	AdapterSlots int           // of all of them
	LoadTime     time.Duration // time to load an adapter from the weight store
	RequestSlots int           // of one of them
	RunTime      time.Duration // estimated run time of a request
	Runners      int
}

const (
	// carryFraction is the fraction of a runner's request slots that the requests for one copy
	// may take. The mean runner is half full with requests for other adapters; beyond that,
	// requests queue there.
	carryFraction = 0.5
	// furtherFraction is the fraction of the adapter slots that further copies of one adapter
	// may take, and minFurther the number allowed in any case. The most popular adapter, with a
	// fifth of all requests, needs a seventieth of them if its requests are spread evenly over
	// three failure domains, and a twentieth if all go to one.
	furtherFraction = 0.05
	minFurther      = 2
	// planDelay is the time beside a load until requests are sent to a further copy: until the
	// next step, until the order is sent, and until the instances learn of the copy.
	planDelay = 150 * time.Millisecond
	// slack is the fraction of a copy by which the need may exceed the copies, so that the noise
	// of the forecast requests no copy. Smaller values load more copies than without this package
	// while hardly more requests are in time.
	slack = 0.5
)

// carry returns how many concurrent requests one copy carries.
func (c Capacity) carry() float64 { return max(1, carryFraction*float64(c.RequestSlots)) }

// maxCopies returns the limit on the copies of one adapter.
func (c Capacity) maxCopies() int {
	return min(c.Runners, 1+max(minFurther, int(furtherFraction*float64(c.AdapterSlots))))
}
