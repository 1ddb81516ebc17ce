// Package forwarder serves requests by sending them directly to runners.
//
// It chooses the runner, waits until the adapter is resident, sends the request and passes
// the response on. After a failure it retries on another runner if, and only if, the
// request cannot run more often than its route allows.
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
	ID          string // of this attempt of the caller
	Account     string // of the caller; empty for none
	Arrived     time.Time
	Deadline    time.Time // when the caller stops waiting
	LastEventID int       // ID of the last event that the caller has received; 0 for none
	Resumes     string    // ID of the attempt that brought the caller the first event of the stream; empty for a new request
	Copy        placer.Copy
	Engine      *matcher.Engine // of the service; nil for a plain one
	Message     Message
	Parts       []string // IDs of the parts of the prompt that other requests may share
	Priority    int      // 0 is the most urgent
	Quota       limiter.Request
	Route       *matcher.Route
	Service     string
	Tokens      int // of the prompt; 0 if unknown

	CallerLeft  func() bool          // reports whether the caller has closed its connection; nil if that is not known
	Via         string               // peer that sent it over a detour; empty for none
	Pin         tracker.VersionPin   // software version at which the stream began
	Avoid       []string             // runners whose connections broke under it at another instance
	Resumed     bool                 // its caller has received a part of the response from another instance
	LastEventAt time.Time            // when its caller received the last event from another instance; zero if it has not
	OnRetry     func(executions int) // called before it may be executed again, with the number of executions; nil for none

	Arrivals   int // set at the end: times that it reached a runner
	Executions int // set at the end: times that it may have been executed
}

// Withdrawn reports whether nobody waits for the response any more. It is asked right before the request is
// sent: the end of ctx follows the end of the caller's connection with a delay.
func (r *Request) Withdrawn(ctx context.Context) bool {
	return ctx.Err() != nil || r.CallerLeft != nil && r.CallerLeft()
}

// FirstAttempt returns the ID of the attempt that brought the first event of the stream that the
// request resumes, or its own. What is decided for a whole stream depends on it.
func (r *Request) FirstAttempt() string {
	if r.Resumes != "" {
		return r.Resumes
	}
	return r.ID
}

// quarantineScope distinguishes equal requests of different accounts in the digest. A host
// contains no slash.
func (r *Request) quarantineScope() string {
	if r.Account == "" {
		return r.Route.Host
	}
	return r.Account + "/" + r.Route.Host
}

// A Message is an HTTP request as received, without its hop-by-hop headers.
type Message struct {
	Body   []byte
	Head   []byte // header lines, each with its line ending
	Method string
	Target string // path and query
}

// An Attempt is one attempt of a request at a runner.
type Attempt struct {
	Request     *Request
	Runner      tracker.Runner
	LastEventID int           // the response resumes after this event; 0 for the complete response
	Timeout     time.Duration // time limit for the runner
	OnConnected func()        // called when there is a connection to the runner, before anything is sent
}

// A Reply is the head of a runner's response and its body.
type Reply struct {
	Status      int
	Head        any    // specific to the Upstream; for the Sink
	Instance    string // the runner that responded, if stated
	Version     string // software version of that runner; set by the forwarder, and by Detours
	NotRun      bool   // the runner states that the request did not run
	Misdirected bool   // the runner is another one or does not hold the adapter
	Body        io.Reader
	Close       func(complete bool) // complete: the body was read to its end
	BodyError   func(err error) judge.Observation
}

// An Upstream sends requests to runners.
type Upstream interface {
	// Send sends a request and returns the head of the response, or an observation of how
	// far the request got. It is cancelled with ctx.
	Send(ctx context.Context, a Attempt) (*Reply, judge.Observation)
}

// A Sink receives one response. After an error it accepts nothing more: the caller has
// disconnected.
type Sink interface {
	// Head starts a response whose parts follow.
	Head(r *Reply) error
	// Event passes on one part of the response.
	Event(data []byte) error
	// Complete passes on a response in one piece.
	Complete(r *Reply, body []byte) error
}

// Placement reports demand for adapters and reserves capacity at runners.
type Placement interface {
	// ReportWaiting reports that a request waits for a copy at a runner. It is called
	// repeatedly while the request waits.
	ReportWaiting(w Waiter)
	// RequestSpareCopy requests one more copy at a runner, for later requests.
	RequestSpareCopy(runner string, c placer.Copy)
	// Reserve reserves prefill capacity at a runner that holds what the request needs. It
	// returns how long to delay the request, or a refusal. ok is false if no instance can
	// grant a reservation. Where prompts are ordered, it returns when it is the turn of the
	// request, or ctx has ended.
	Reserve(ctx context.Context, request ReserveRequest) (reservation Reservation, refused *judge.Error, ok bool)
	// AcquireSlot acquires a request slot at a runner of a plain service. It returns how
	// long the request waits there, or a refusal with the time by which that wait is too
	// long. ok is false if no instance can grant a slot.
	AcquireSlot(ctx context.Context, runner string, within time.Duration) (slot RequestSlot, refused *judge.Error, ok bool)
	// TakeToken takes a token for one request to a runner. It returns false if the runner
	// limits its request rate and there is no token now; the runner is then not eligible for
	// a while. For any other runner it returns true.
	TakeToken(ctx context.Context, runner string) bool
	// ReportHit reports that a runner accepted a request for a copy, and when the request was
	// sent.
	ReportHit(runner string, c placer.Copy, sent time.Time)
	// AcquireCopy acquires a reference to a copy at a runner, which keeps the copy there
	// until done is called.
	AcquireCopy(runner string, c placer.Copy) (done func())
	// ReportRefusal reports that a request for a copy was refused, as too much work is before
	// it at the best runner, without asking for a reservation there.
	ReportRefusal(runner string, c placer.Copy)
	// ReportGap reports the longest gap between the events of a response, and the route's
	// limit.
	ReportGap(runner string, longest, limit time.Duration)
	// ReportMiss reports that a runner refused a request because it does not hold the copy.
	ReportMiss(runner string, c placer.Copy)
}

// A ReserveRequest is a request for prefill capacity at a runner.
type ReserveRequest struct {
	Account  string // of the caller; empty for none
	Copy     placer.Copy
	OnQueued func(wait time.Duration) // called if the request has to wait for its turn, with the expected time
	Priority int                      // 0 is the most urgent
	Runner   string
	Tokens   int           // of the prompt
	MaxGap   time.Duration // maximum gap between events of the requests running there
	Timeout  time.Duration // within which the prompt has to be prefilled

	// Extension is how much later the prompt of a stream that its caller takes up may be prefilled, in the
	// share of its time that the runner grants such streams; 0 for any other request.
	Extension time.Duration
}

// A RequestSlot is a request slot at a runner of a plain service. It is held until it is
// released or abandoned; further calls have no effect.
type RequestSlot struct {
	Abandon func() // releases the slot of a request that the runner has not completed; nil: as Release
	Release func() // releases the slot of a completed request, whose duration is that of its run
	Wait    time.Duration
}

// abandon releases the slot of a request that the runner has not completed.
func (s RequestSlot) abandon() {
	switch {
	case s.Abandon != nil:
		s.Abandon()
	case s.Release != nil:
		s.Release()
	}
}

// A Reservation is the result of a reservation.
type Reservation struct {
	Absent bool          // the copy has been evicted in the meantime
	Delay  time.Duration // delay before the request is sent
}

// A Waiter is a request that waits for a copy.
type Waiter struct {
	Continues bool // its caller has a part of the stream, which is lost if the copy comes too late
	Copy      placer.Copy
	InTime    bool // the response is still on time if the copy is loaded next, or would be cut off without it
	Priority  int
	Request   string
	Runner    string
}
