package router

import "time"

// A Policy is a strategy for choosing a runner.
//
//sumtype:decl
type Policy interface{ policy() }

// A Cost policy chooses the candidate with the lowest weighted cost.
type Cost struct {
	StallWeight float64 // weight of a second of waiting
	BatchWeight float64 // weight of an engine step that runs empty
}

// A FirstToken policy chooses the runner with the earliest expected first token. It is for
// requests that are sent directly to runners, where the queue is an estimated time and not
// a queue kept by the runner's owner.
type FirstToken struct {
	CrossDomain float64 // cost of a runner in another failure domain, in seconds
}

// A Spread policy chooses randomly among the runners that respond well, those of its own
// failure domain first. It ignores their load, which is reported too late: when all
// instances chose the runner that had been least loaded a moment ago, they overloaded one
// runner after the other.
type Spread struct {
	CrossDomain float64        // cost of a runner in another failure domain, in seconds
	Draw        func() float64 // from 0 to 1
}

// A Hash policy chooses the runner by rendezvous hashing of the adapter's name, whatever
// its load.
type Hash struct{}

// A Least policy chooses the runner with the fewest requests, whatever is resident there.
type Least struct{}

func (Cost) policy()       {}
func (FirstToken) policy() {}
func (Hash) policy()       {}
func (Least) policy()      {}
func (Spread) policy()     {}

// A Candidate is a runner as known to the choosing instance. Load reports lag, so Sent
// counts the requests that this instance has sent since the last report.
type Candidate struct {
	Runner      string
	OtherDomain bool          // in another failure domain
	Own         time.Duration // until the first token of this request on the idle runner; 0 where runners state no pace
	Backlog     time.Duration // until the known work ahead of this request is done
	Congested   bool          // one more prompt would delay the tokens of the requests running there
	Failing     float64       // fraction of the recent requests that failed there, 0 to 1
	HeldBefore  bool          // the runner held the adapter before and can load it from its own memory
	ReadyIn     time.Duration // until the adapter can be used; 0 if it is resident
	Resident    bool
	Loading     bool          // the adapter is being loaded or in the load queue
	Free        int           // free adapter slots
	Batch       int           // requests that the engine runs at once
	Running     int           // as of the last report
	Waiting     int           // as of the last report
	Sent        int           // requests from this instance since the last report
	Ramp        float64       // fraction of the batch that an engine is given while it warms up, 0 to 1
	LoadWait    time.Duration // until another load could start
	UsualFactor float64       // usual time of work, relative to the mean over the runners of the service; 0 if it is unknown
}

// A Request is the part of a request that the choice depends on.
type Request struct {
	Adapter  string
	TimeLeft time.Duration // until the deadline; 0 if there is none
}

// Terms are the components of a candidate's cost, as shown by the explain command.
type Terms struct {
	Absent    bool    `json:"absent" yaml:"absent"` // the adapter is neither resident nor being loaded
	Congested bool    `json:"crowded" yaml:"crowded"`
	Runner    string  `json:"runner" yaml:"runner"`
	Stall     float64 `json:"stall" yaml:"stall"` // seconds
	Queue     float64 `json:"queue" yaml:"queue"` // seconds
	Empty     float64 `json:"empty" yaml:"empty"` // fraction of an engine step, 0 to 1
	Total     float64 `json:"total" yaml:"total"`
}
