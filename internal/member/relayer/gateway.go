package relayer

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// The messages between the members of a failure domain and the instance that gives
// orders to its runners.

// A Demand tells the instance that orders for a failure domain, or the one through
// which the sender is told of it, what the sender's requests need and use there. It
// stands alone.
type Demand struct {
	Domain  string                  `cbor:"5,keyasint"`
	Others  int                     `cbor:"10,keyasint,omitempty"` // instances that it speaks for beside the sender
	Parted  bool                    `cbor:"11,keyasint,omitempty"` // the sender tells somebody else from now on; the rest says nothing
	Loads   map[string]tracker.Load `cbor:"1,keyasint,omitempty"`  // the sender's work on each runner, all that have some
	Short   int                     `cbor:"8,keyasint,omitempty"`  // answers that had only short pauses
	Long    int                     `cbor:"9,keyasint,omitempty"`  // that had a long one
	Missing []Need                  `cbor:"2,keyasint,omitempty"`  // refused for want of the copy
	There   []Need                  `cbor:"6,keyasint,omitempty"`  // used, and known to be there
	Spare   []Need                  `cbor:"7,keyasint,omitempty"`  // of use to those that come later; nobody waits
	Uses    []Need                  `cbor:"3,keyasint,omitempty"`  // all copies that requests use now
	Waits   []Wait                  `cbor:"4,keyasint,omitempty"`  // all copies that requests wait for now
}

// Crashes tells whoever tells the sender of others which requests the sender saw crash
// runners, or run whole since. It stands alone, and is told again until the receiver
// tells it back.
type Crashes struct {
	Words []quarantiner.Word `cbor:"1,keyasint"`
}

// A Reserve asks the instance that orders for a failure domain for room at
// one of its runners.
type Reserve struct {
	_      struct{} `cbor:",toarray"`
	By     string   // who tells the receiver of the sender's uses; empty for the sender itself
	Domain string
	Runner string
	Copy   placer.Copy   // that the request uses
	Tokens int           // of the prompt
	Pause  time.Duration // between events that its runs bear
	Within time.Duration // in which the prompt has to be read
}

// A Reserved answers a Reserve and ends the answer.
type Reserved struct {
	_       struct{}      `cbor:",toarray"`
	Absent  bool          // the runner does not hold the copy any more; the rest says nothing
	Wait    time.Duration // before the request is sent
	Reading time.Duration // that the runner still reads, this prompt included
}

// A Subscribe asks for the News of a failure domain, of whoever orders for it or for
// another one.
type Subscribe struct {
	Domain  string            `cbor:"1,keyasint"`
	Passes  bool              `cbor:"2,keyasint,omitempty"` // the sender passes the news on
	Crashes bool              `cbor:"4,keyasint,omitempty"` // requests that crash runners are to be told of
	Tables  map[string]uint64 `cbor:"3,keyasint,omitempty"` // tables of the store to be told of, and up to which version the sender knows them
}

// News answers a Subscribe, again and again: what has changed since the
// last one. Without a change it is a heartbeat.
type News struct {
	Acting   bool                    `cbor:"7,keyasint,omitempty"` // orders are given now
	Age      time.Duration           `cbor:"8,keyasint,omitempty"` // since the renewal in force was sent
	Renewal  uint64                  `cbor:"9,keyasint,omitempty"` // version that it gave the row of the tenure
	Tenure   elector.Tenure          `cbor:"10,keyasint"`
	Ended    uint64                  `cbor:"20,keyasint,omitempty"` // fencing number of the tenure that the sender has given up; the last word of it
	Fresh    bool                    `cbor:"11,keyasint,omitempty"` // the runners are as in the store a moment ago
	From     string                  `cbor:"-"`                     // instance that told it; set by the receiver
	Crashes  []quarantiner.Word      `cbor:"21,keyasint,omitempty"` // that are news
	Gone     []Gone                  `cbor:"1,keyasint,omitempty"`
	Held     []Held                  `cbor:"2,keyasint,omitempty"`
	Loaded   bool                    `cbor:"13,keyasint,omitempty"` // Loads are told; else they are as before
	Loads    map[string]tracker.Load `cbor:"3,keyasint,omitempty"`  // other instances' work on the domain's runners
	Rooms    []Room                  `cbor:"14,keyasint,omitempty"` // that changed
	Line     time.Duration           `cbor:"12,keyasint,omitempty"` // until an adapter that is asked for now begins to load
	Silence  time.Duration           `cbor:"16,keyasint,omitempty"` // since the last word of who orders there; zero from that instance itself
	Operator Known                   `cbor:"15,keyasint,omitzero"`  // what the sender knows of the operator's rows
	Tables   []Table                 `cbor:"17,keyasint,omitempty"` // that were asked for
	Load     time.Duration           `cbor:"18,keyasint,omitempty"` // that an adapter takes from the weight store
	Return   time.Duration           `cbor:"19,keyasint,omitempty"` // that one takes which the runner held before
	Members  int                     `cbor:"4,keyasint"`            // instances that subscribe, the sender included
	Runners  []tracker.Runner        `cbor:"5,keyasint,omitempty"`  // described anew
	Checksum uint64                  `cbor:"23,keyasint,omitempty"` // checksum of the runners that the sender knows
	Reached  Span                    `cbor:"24,keyasint,omitzero"`  // over which the store was reached without a break, up to the sender's last call
	Revision uint64                  `cbor:"22,keyasint,omitempty"` // revision of the store up to which the sender has read the runners' table itself
	Whole    bool                    `cbor:"6,keyasint,omitempty"`  // Runners and Held are all there are
}

// A Span is a span of time, by how long ago it began and ended.
type Span struct {
	_     struct{} `cbor:",toarray"`
	First time.Duration
	Last  time.Duration
}

// A Known says how far the sender knows a table of the store by calls of its own.
type Known struct {
	_      struct{}      `cbor:",toarray"`
	Newest uint64        // version of the newest row
	Age    time.Duration // since a call showed that there is no newer one
}

// A Table is what the sender knows of a table of the store beyond what it has told.
type Table struct {
	Name   string        `cbor:"1,keyasint"`
	Rows   []Row         `cbor:"2,keyasint,omitempty"` // after the version that the receiver knew, in order of version
	UpTo   uint64        `cbor:"3,keyasint"`           // the receiver knows the table up to this version now
	Newest uint64        `cbor:"4,keyasint"`           // version of the newest row that anybody has told of
	Age    time.Duration `cbor:"5,keyasint"`           // since a call to the store showed that UpTo is current
}

// A Row is a row of the store on its way between instances.
type Row struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint"`
	Packed  bool   `cbor:"3,keyasint,omitempty"` // Value is compressed
	Removed bool   `cbor:"4,keyasint,omitempty"`
	Version uint64 `cbor:"5,keyasint"`
}

// Urgent reports whether the receiver is to look at once whether orders are due.
func (d Demand) Urgent() bool { return len(d.Waits) > 0 || len(d.Missing) > 0 || len(d.Spare) > 0 }

// Empty reports whether the sender needs and uses nothing.
func (d Demand) Empty() bool {
	return len(d.Loads)+len(d.Missing)+len(d.There)+len(d.Spare)+len(d.Uses)+len(d.Waits)+d.Short+d.Long == 0
}

// A Wait is the requests that wait for a copy at a runner.
type Wait struct {
	_       struct{} `cbor:",toarray"`
	Runner  string
	Copy    placer.Copy
	Waiting placer.Waiting
}

// A Room says how long a copy that a runner does not hold waits there for a place.
type Room struct {
	_      struct{} `cbor:",toarray"`
	Runner string
	Wait   time.Duration
}

// A Need is a copy at a runner.
type Need struct {
	_        struct{} `cbor:",toarray"`
	Runner   string
	Copy     placer.Copy
	Requests int           // that found it there
	Ago      time.Duration // since the first of them was sent
}

// A Held says how copies of a model stand at a runner. The names of both are told
// once for all of them: with a hundred bytes a copy, the news of all that the runners
// of six domains hold took two seconds to 35 instances over a link of 20 Mbit/s.
type Held struct {
	_      struct{} `cbor:",toarray"`
	Runner string
	Model  string
	Copies []Stand
}

// A Stand says how one copy stands.
type Stand struct {
	_       struct{} `cbor:",toarray"`
	Adapter string
	Version int
	In      time.Duration // until it can be used; negative: it is not there
}

// Copy returns the copy that a Stand is of.
func (h Held) Copy(s Stand) placer.Copy {
	return placer.Copy{Model: h.Model, Adapter: s.Adapter, Version: s.Version}
}

// AddHeld adds how a copy stands at a runner.
func (n *News) AddHeld(runner string, c placer.Copy, in time.Duration) {
	s := Stand{Adapter: c.Adapter, Version: c.Version, In: in}
	for i := range n.Held {
		if h := &n.Held[i]; h.Runner == runner && h.Model == c.Model {
			h.Copies = append(h.Copies, s)
			return
		}
	}
	n.Held = append(n.Held, Held{Runner: runner, Model: c.Model, Copies: []Stand{s}})
}

// A Gone is a runner that is no more, with the last revision of its description.
type Gone struct {
	_        struct{} `cbor:",toarray"`
	Runner   string
	Revision uint64
}

func (Crashes) message()   {}
func (Demand) message()    {}
func (News) message()      {}
func (Reserve) message()   {}
func (Reserved) message()  {}
func (Subscribe) message() {}
