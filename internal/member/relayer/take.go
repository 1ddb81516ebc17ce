package relayer

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A RunnerLimit is a runner's statement about its request rate, as the sender knows it. The
// time of the statement is sent as its age, as clocks differ between instances.
type RunnerLimit struct {
	Runner    string        `cbor:"1,keyasint"`
	Limited   bool          `cbor:"2,keyasint,omitempty"`
	PerSecond float64       `cbor:"3,keyasint,omitempty"`
	Age       time.Duration `cbor:"4,keyasint"`
}

// NewRunnerLimit returns the message for a statement.
func NewRunnerLimit(runner string, l tracker.RateLimit, now time.Time) RunnerLimit {
	return RunnerLimit{Runner: runner, Limited: l.Limited, PerSecond: l.PerSecond, Age: now.Sub(l.AsOf)}
}

// RateLimit returns the statement.
func (l RunnerLimit) RateLimit(now time.Time) tracker.RateLimit {
	return tracker.RateLimit{AsOf: now.Add(-l.Age), Limited: l.Limited, PerSecond: l.PerSecond}
}

// A Take asks the leader of a failure domain for a token: the permission to send one request
// to a runner there that limits its request rate.
type Take struct {
	Domain string      `cbor:"1,keyasint"`
	Limit  RunnerLimit `cbor:"2,keyasint"`
}

// A Taken is the response to a Take and ends the conversation.
type Taken struct {
	Limit RunnerLimit   `cbor:"1,keyasint"` // as the leader knows it
	Wait  time.Duration `cbor:"2,keyasint"` // until there is a token; 0: the sender has it
}

// A Notice tells the leader of a failure domain what a runner there has stated.
type Notice struct {
	Domain  string      `cbor:"1,keyasint"`
	Limit   RunnerLimit `cbor:"2,keyasint"`           // names the runner
	Leaving bool        `cbor:"3,keyasint,omitempty"` // it is leaving
}

// A Noticed is the response to a Notice and ends the conversation.
type Noticed struct{}

func (Notice) message()  {}
func (Noticed) message() {}
func (Take) message()    {}
func (Taken) message()   {}
