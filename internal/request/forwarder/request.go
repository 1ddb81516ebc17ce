// Package forwarder answers requests by sending them straight to runners.
//
// It chooses the runner, waits until the adapter is there, sends the request,
// and passes the answer on. When something fails it sends the request to
// another runner if, and only if, that cannot make it run twice.
package forwarder

import (
	"context"
	"io"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A Request is one request of a caller.
type Request struct {
	ID       string // of this client attempt
	Account  string // of the caller; empty for none
	Arrived  time.Time
	Deadline time.Time // until when the caller waits
	After    int       // last event that the caller has; 0 for none
	Copy     placer.Copy
	Engine   *matcher.Engine // of the service; nil for a plain one
	Message  Message
	Priority int // 0 is the most urgent
	Quota    limiter.Request
	Route    *matcher.Route
	Service  string
	Tokens   int // of the prompt; 0 if unknown
}

// quarantineScope tells apart the same request of two accounts. A host has no slash.
func (r *Request) quarantineScope() string {
	if r.Account == "" {
		return r.Route.Host
	}
	return r.Account + "/" + r.Route.Host
}

// A Message is an HTTP request as it came, less what concerns one connection.
type Message struct {
	Body   []byte
	Head   []byte // header lines, each with its line end
	Method string
	Target string // path and query
}

// An Attempt is a request on its way to one runner.
type Attempt struct {
	Request *Request
	Runner  tracker.Runner
	After   int           // the answer is to go on after this event; 0 for the whole
	Left    time.Duration // that the runner may take
}

// A Reply is the head of a runner's answer and its body.
type Reply struct {
	Status   int
	Head     any    // for the Sink; of the Upstream that made it
	Instance string // the runner that answered, if it says so
	NotRun   bool   // the runner says that the request did not run
	Absent   bool   // it is another runner, or it does not hold the adapter
	Body     io.Reader
	Close    func(whole bool) // whole: the body was read to its end
	Broken   func(err error) judge.Observation
}

// An Upstream sends requests to runners.
type Upstream interface {
	// Send sends a request and returns the head of the answer, or how far the
	// request got. The request ends with ctx.
	Send(ctx context.Context, a Attempt) (*Reply, judge.Observation)
}

// A Sink takes one answer in. One that returns an error takes no more: its
// caller went away.
type Sink interface {
	// Head begins an answer whose parts follow.
	Head(r *Reply) error
	// Event passes a part of it on.
	Event(data []byte) error
	// Whole gives an answer in one piece.
	Whole(r *Reply, body []byte) error
}

// Placement is who can bring an adapter to a runner.
type Placement interface {
	// Wait tells that a request waits for a copy at a runner. It is called again
	// while it does.
	Wait(w Waiter)
	// Spare tells that one more copy at a runner would serve those that come
	// later.
	Spare(runner string, c placer.Copy)
	// Reserve asks for room at a runner that holds what the request needs. It
	// returns how long to hold the request back, or a refusal. ok is false if
	// nobody can tell.
	Reserve(ctx context.Context, a Ask) (r Room, refused *judge.Error, ok bool)
	// Place asks for a place at a runner of a plain service. It returns how long the request
	// waits there, or a refusal that says how much too long. ok is false if nobody can tell.
	Place(ctx context.Context, runner string, within time.Duration) (p Place, refused *judge.Error, ok bool)
	// There tells that a runner took a request for a copy that was sent at a time.
	There(runner string, c placer.Copy, sent time.Time)
	// Use tells that a request needs a copy to stay at a runner until done.
	Use(runner string, c placer.Copy) (done func())
	// Paused tells of the longest pause between the events of an answer, beside
	// the most that its caller bears.
	Paused(runner string, longest, most time.Duration)
	// Missing tells that a runner refused a request for want of a copy.
	Missing(runner string, c placer.Copy)
}

// An Ask is for room at a runner.
type Ask struct {
	Copy   placer.Copy
	Runner string
	Tokens int           // of the prompt
	Pause  time.Duration // between events that the runs there bear
	Within time.Duration // in which the prompt has to be read
}

// A Place is one at a runner of a plain service, which is held until it is given back.
type Place struct {
	Done func() // gives it back
	Wait time.Duration
}

// A Room is what a request is given at a runner.
type Room struct {
	Absent bool          // the copy has made way meanwhile
	Wait   time.Duration // before the request is sent
}

// A Waiter is a request that waits for a copy.
type Waiter struct {
	Copy     placer.Copy
	InTime   bool // it is still on time if the copy comes next
	Priority int
	Request  string
	Runner   string
}
