package relayer

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// The messages between the members of a failure domain and its leader, which sends
// orders to the runners.

// A Demand reports what the sender's requests need and use in a failure domain, to its
// leader or to the instance that relays the leader's updates to the sender. It has no
// response.
type Demand struct {
	Domain         string                  `cbor:"5,keyasint"`
	OtherInstances int                     `cbor:"10,keyasint,omitempty"` // instances that it covers besides the sender
	Unsubscribed   bool                    `cbor:"11,keyasint,omitempty"` // the sender reports to another instance from now on; no other field but Domain is set
	Loads          map[string]tracker.Load `cbor:"1,keyasint,omitempty"`  // the sender's load on every runner that has any
	ShortGaps      int                     `cbor:"8,keyasint,omitempty"`  // responses with only short gaps between events
	LongGaps       int                     `cbor:"9,keyasint,omitempty"`  // responses with a long gap
	Misses         []CopyUse               `cbor:"2,keyasint,omitempty"`  // copies for lack of which a runner refused requests
	Hits           []CopyUse               `cbor:"6,keyasint,omitempty"`  // copies that requests found resident
	Refused        []CopyUse               `cbor:"13,keyasint,omitempty"` // copies for which requests were refused without asking the leader; only where copies are loaded ahead of demand
	Spare          []CopyUse               `cbor:"7,keyasint,omitempty"`  // copies that would help later requests; none waits for them
	Paces          []Pace                  `cbor:"12,keyasint,omitempty"` // stated by runners since the last report
	Uses           []CopyUse               `cbor:"3,keyasint,omitempty"`  // all copies that requests use now
	Waits          []Wait                  `cbor:"4,keyasint,omitempty"`  // all copies that requests wait for now
}

// Crashes reports the requests during which the sender observed that runners crashed,
// and those that have completed since, to the instance that publishes the crash reports
// of others to the sender. It has no response and is sent again until the receiver
// publishes the reports back.
type Crashes struct {
	Reports []quarantiner.CrashReport `cbor:"1,keyasint"`
}

// A Reserve asks the leader of a failure domain for prefill capacity at one of its
// runners.
type Reserve struct {
	Reporter string // instance that reports the sender's uses to the receiver; empty for the sender itself
	Domain   string
	Runner   string
	Copy     placer.Copy   // copy that the request uses
	Tokens   int           // length of the prompt
	MaxGap   time.Duration // maximum gap between events that the requests running there tolerate
	Timeout  time.Duration // time limit for the prefill of the prompt

	Extension time.Duration // see forwarder.ReserveRequest
}

// MarshalCBOR implements cbor.Marshaler. The extension is an optional last element.
func (r Reserve) MarshalCBOR() ([]byte, error) {
	elements := []any{r.Reporter, r.Domain, r.Runner, r.Copy, r.Tokens, r.MaxGap, r.Timeout}
	if r.Extension > 0 {
		elements = append(elements, r.Extension)
	}
	return encoder.Marshal(elements)
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (r *Reserve) UnmarshalCBOR(data []byte) error {
	return decodeElements(data, 7, &r.Reporter, &r.Domain, &r.Runner, &r.Copy, &r.Tokens, &r.MaxGap, &r.Timeout, &r.Extension)
}

// A Reserved is the response to a Reserve and ends the conversation.
type Reserved struct {
	_              struct{}      `cbor:",toarray"`
	Absent         bool          // the runner no longer holds the copy; the other fields are not set
	Delay          time.Duration // delay before the request may be sent
	PrefillBacklog time.Duration // prefill backlog of the runner, this prompt included
}

// A Subscribe asks for the News of a failure domain. The receiver leads that domain or
// another one.
type Subscribe struct {
	Domain  string            `cbor:"1,keyasint"`
	Relays  bool              `cbor:"2,keyasint,omitempty"` // the sender relays the updates
	Crashes bool              `cbor:"4,keyasint,omitempty"` // crash reports are to be included
	Tables  map[string]uint64 `cbor:"3,keyasint,omitempty"` // store tables to include, each with the version up to which the sender knows it
}

// News is an update about a failure domain. The response to a Subscribe is a stream of
// them, each with the changes since the last one; without a change it is a heartbeat.
type News struct {
	Acting            bool                      `cbor:"7,keyasint,omitempty"` // the leader may send orders now
	Age               time.Duration             `cbor:"8,keyasint,omitempty"` // since the last renewal of the lease was sent
	Renewal           uint64                    `cbor:"9,keyasint,omitempty"` // version of the lease row from that renewal
	Lease             elector.Lease             `cbor:"10,keyasint"`
	ReleasedFence     uint64                    `cbor:"20,keyasint,omitempty"` // fencing token of the lease from which the sender stepped down; in its last update
	Fresh             bool                      `cbor:"11,keyasint,omitempty"` // the runners are as in the store a moment ago
	From              string                    `cbor:"-"`                     // instance that sent it; set by the receiver
	Crashes           []quarantiner.CrashReport `cbor:"21,keyasint,omitempty"` // new crash reports
	Removed           []RemovedRunner           `cbor:"1,keyasint,omitempty"`
	Held              []Held                    `cbor:"2,keyasint,omitempty"`
	HasLoads          bool                      `cbor:"13,keyasint,omitempty"` // Loads and Members are set; otherwise they are unchanged
	Loads             map[string]tracker.Load   `cbor:"3,keyasint,omitempty"`  // load of other instances on the domain's runners
	SlotWaits         []SlotWait                `cbor:"14,keyasint,omitempty"` // changed since the last update
	LoadQueueWait     time.Duration             `cbor:"12,keyasint,omitempty"` // see tracker.LoadQueueWait
	ContinuedWait     time.Duration             `cbor:"29,keyasint,omitempty"` // the same for an adapter that a continued stream waits for
	SinceLeaderUpdate time.Duration             `cbor:"16,keyasint,omitempty"` // since the last update from the leader; zero from the leader itself
	Operator          TableVersion              `cbor:"15,keyasint,omitzero"`  // how far the sender knows the operator's table
	Tables            []Table                   `cbor:"17,keyasint,omitempty"` // tables named in the Subscribe
	LoadTime          time.Duration             `cbor:"18,keyasint,omitempty"` // time to load an adapter from the weight store
	ReloadTime        time.Duration             `cbor:"19,keyasint,omitempty"` // time to load an adapter that the runner held before
	Members           int                       `cbor:"4,keyasint"`            // number of subscribed instances, the sender included
	Instances         []InstanceAddress         `cbor:"28,keyasint,omitempty"` // all instances of the domain, if they have changed
	Runners           []tracker.Runner          `cbor:"5,keyasint,omitempty"`  // new or changed descriptions
	Checksum          uint64                    `cbor:"23,keyasint,omitempty"` // of the runners that the sender knows
	StoreReached      Span                      `cbor:"24,keyasint,omitzero"`  // during which the store was reachable without interruption, up to the sender's last call
	Revision          uint64                    `cbor:"22,keyasint,omitempty"` // of the store up to which the sender itself has read the table of runners
	Snapshot          bool                      `cbor:"6,keyasint,omitempty"`  // Runners and Held are complete
	Paces             []RunnerPace              `cbor:"27,keyasint,omitempty"` // usual paces that have changed, and runners that are slow now
	Limits            []RunnerLimit             `cbor:"25,keyasint,omitempty"` // stated by runners since the last update
	Leaving           []string                  `cbor:"26,keyasint,omitempty"` // runners that have stated since then that they are leaving
}

// QueueWait returns the time until an adapter that is requested now begins to load.
func (n *News) QueueWait() tracker.LoadQueueWait {
	return tracker.LoadQueueWait{Last: n.LoadQueueWait, Continued: n.ContinuedWait}
}

// SetQueueWait sets the time until an adapter that is requested now begins to load.
func (n *News) SetQueueWait(w tracker.LoadQueueWait) {
	n.LoadQueueWait, n.ContinuedWait = w.Last, w.Continued
}

// A Span is a period of time, given by how long ago it began and ended.
type Span struct {
	_     struct{} `cbor:",toarray"`
	First time.Duration
	Last  time.Duration
}

// A TableVersion states how far the sender knows a table of the store by its own calls.
type TableVersion struct {
	_      struct{}      `cbor:",toarray"`
	Newest uint64        // version of the newest row
	Age    time.Duration // since a call that showed that there is no newer one
}

// A Table holds the changes of a table of the store that the sender has not yet sent.
type Table struct {
	Name   string        `cbor:"1,keyasint"`
	Rows   []Row         `cbor:"2,keyasint,omitempty"` // newer than the version known to the receiver, in order of version
	UpTo   uint64        `cbor:"3,keyasint"`           // version up to which the receiver knows the table with these rows
	Newest uint64        `cbor:"4,keyasint"`           // version of the newest row that any instance has reported
	Age    time.Duration `cbor:"5,keyasint"`           // since a call to the store that showed that UpTo is current
}

// A Row is a row of the store in a message.
type Row struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint"`
	Packed  bool   `cbor:"3,keyasint,omitempty"` // Value is compressed
	Removed bool   `cbor:"4,keyasint,omitempty"`
	Version uint64 `cbor:"5,keyasint"`
}

// Urgent reports whether the receiver must check at once whether orders are due.
func (d Demand) Urgent() bool { return len(d.Waits) > 0 || len(d.Misses) > 0 || len(d.Spare) > 0 }

// Empty reports whether the sender neither needs nor uses anything, and has no statements to
// pass on.
func (d Demand) Empty() bool {
	return len(d.Loads)+len(d.Misses)+len(d.Hits)+len(d.Spare)+len(d.Uses)+len(d.Waits)+len(d.Paces)+len(d.Refused)+d.ShortGaps+d.LongGaps == 0
}

// A Wait counts the requests that wait for a copy at a runner.
type Wait struct {
	_       struct{} `cbor:",toarray"`
	Runner  string
	Copy    placer.Copy
	Waiting placer.Waiting
}

// A SlotWait states how long a copy that a runner does not hold would wait there for a free
// adapter slot.
type SlotWait struct {
	_      struct{} `cbor:",toarray"`
	Runner string
	Wait   time.Duration
}

// A CopyUse is a copy at a runner that requests need or use.
type CopyUse struct {
	_        struct{} `cbor:",toarray"`
	Runner   string
	Copy     placer.Copy
	Requests int           // number of requests that use it or found it resident
	Age      time.Duration // since the first of them was sent
}

// A Held is the state of the copies of a model at a runner. The names of both are sent
// once for all copies: with a hundred bytes a copy, the snapshot of all copies at the
// runners of six domains took two seconds to reach 35 instances over a link of
// 20 Mbit/s.
type Held struct {
	_      struct{} `cbor:",toarray"`
	Runner string
	Model  string
	Copies []CopyState
}

// A CopyState is the state of one copy.
type CopyState struct {
	_       struct{} `cbor:",toarray"`
	Adapter string
	Version int
	ReadyIn time.Duration // until it can be used; negative if it is not resident
}

// Copy returns the copy that s describes.
func (h Held) Copy(s CopyState) placer.Copy {
	return placer.Copy{Model: h.Model, Adapter: s.Adapter, Version: s.Version}
}

// AddHeld adds the state of a copy at a runner, which can be used after readyIn.
func (n *News) AddHeld(runner string, c placer.Copy, readyIn time.Duration) {
	s := CopyState{Adapter: c.Adapter, Version: c.Version, ReadyIn: readyIn}
	for i := range n.Held {
		if h := &n.Held[i]; h.Runner == runner && h.Model == c.Model {
			h.Copies = append(h.Copies, s)
			return
		}
	}
	n.Held = append(n.Held, Held{Runner: runner, Model: c.Model, Copies: []CopyState{s}})
}

// A RemovedRunner names a runner that was removed, with the last revision of its description.
type RemovedRunner struct {
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
