package router

import "time"

// A Policy is a way to choose a runner.
//
//sumtype:decl
type Policy interface{ policy() }

// A Cost policy takes the candidate with the least weighted cost.
type Cost struct {
	Stall float64 // weight of a second of waiting
	Batch float64 // weight of a step that runs empty
}

// A FirstToken policy takes the runner that is expected to give the first token
// earliest. Requests go straight to runners there, so what waits at a runner is
// an estimate in time, not a queue of the owner.
type FirstToken struct {
	CrossDomain float64 // seconds that a runner in another failure domain costs
}

// A Spread policy takes any of the runners that answer well, those of the own failure domain
// first. Which of them has the least work is told too late: instances that all chose the
// runner which seemed free a moment ago filled it up, one runner after the other.
type Spread struct {
	CrossDomain float64        // seconds that a runner in another failure domain costs
	Draw        func() float64 // from 0 to 1
}

// A Hash policy takes the runner that the adapter's name ranks first, whatever
// its load.
type Hash struct{}

// A Least policy takes the runner with the fewest requests, whatever is
// resident there.
type Least struct{}

func (Cost) policy()       {}
func (FirstToken) policy() {}
func (Hash) policy()       {}
func (Least) policy()      {}
func (Spread) policy()     {}

// A Candidate is a runner as the choosing instance knows it. Load reports lag,
// so Sent counts what this instance has sent since the last one.
type Candidate struct {
	Runner   string
	Away     bool          // in another failure domain
	Backlog  time.Duration // until the work that is known to be before this request is done
	Crowded  bool          // one more request would hold up those that run there
	Failing  float64       // part of the recent requests that failed there, 0 to 1
	Kept     bool          // the runner held the adapter before and fetches it from its own memory
	Ready    time.Duration // until the adapter can be used; 0 if it is resident
	Resident bool
	Loading  bool          // the adapter is on its way into a slot or stands in line for it
	Free     int           // empty slots
	Batch    int           // requests that the engine runs at once
	Running  int           // at the last report
	Waiting  int           // at the last report
	Sent     int           // by this instance since the last report
	Ramp     float64       // part of the batch that a cold engine is given, 0 to 1
	Wait     time.Duration // until a further load would begin
}

// A Request is what the choice depends on.
type Request struct {
	Adapter string
	Left    time.Duration // until the deadline; 0 if there is none
}

// Terms are the parts of a candidate's cost, as explain shows them.
type Terms struct {
	Absent  bool    `json:"absent" yaml:"absent"` // the adapter is neither there nor on its way
	Crowded bool    `json:"crowded" yaml:"crowded"`
	Runner  string  `json:"runner" yaml:"runner"`
	Stall   float64 `json:"stall" yaml:"stall"` // seconds
	Queue   float64 `json:"queue" yaml:"queue"` // seconds
	Empty   float64 `json:"empty" yaml:"empty"` // part of a step, 0 to 1
	Total   float64 `json:"total" yaml:"total"`
}
