package relayer

import (
	"errors"
	"fmt"
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
	"github.com/sardinetiller/sardinetiller/internal/setting/publisher"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// A Message is sent from one instance to another.
//
//sumtype:decl
type Message interface{ message() }

// Messages that open a conversation or need no response.
type (
	// An Ask forwards a request to the owner of its runner, or to another failure
	// domain.
	Ask struct {
		Call streamer.Call `cbor:"1,keyasint"`
	}

	// A Beat is a heartbeat with the changes since the last one on the link.
	Beat struct {
		Epoch     uint64  `cbor:"1,keyasint"` // roster epoch adopted
		Revision  uint64  `cbor:"2,keyasint"` // settings in force
		Leaving   bool    `cbor:"3,keyasint,omitempty"`
		Loads     []Load  `cbor:"4,keyasint,omitempty"`
		States    []State `cbor:"5,keyasint,omitempty"`
		LoadQueue int     `cbor:"6,keyasint,omitempty"` // adapters queued for a load: at the sender, or, in a heartbeat to another domain, in the sender's whole domain
	}

	// A Commit asks the instance that batches commits for its domain to commit a
	// transaction together with others.
	Commit struct {
		Txn tabler.Txn `cbor:"1,keyasint"`
	}

	// A Fetch asks for a settings object by its key.
	Fetch struct {
		Key string `cbor:"1,keyasint"`
	}

	// A Hello identifies the instance that dialed; it is the first message.
	Hello struct {
		Instance heartbeater.Instance `cbor:"1,keyasint"`
	}

	// An Inquire asks for the head of the settings in force.
	Inquire struct{}

	// A Preload asks the owner of a runner to load an adapter before requests need it.
	Preload struct {
		Runner  string `cbor:"1,keyasint"`
		Adapter string `cbor:"2,keyasint"`
	}

	// A Permit requests permission for a load from the weight store. The conversation
	// lasts as long as the load; its end releases the permit.
	Permit struct {
		Value         float64       `cbor:"1,keyasint"` // stall that the load removes
		MaxConcurrent int           `cbor:"2,keyasint"` // maximum number of concurrent loads, by the sender's settings
		TTL           time.Duration `cbor:"3,keyasint"` // after which the permit expires
	}

	// A Yield asks whether the receiver has released a runner under a roster epoch,
	// and what its running requests still use there.
	Yield struct {
		Runner string `cbor:"1,keyasint"`
		Epoch  uint64 `cbor:"2,keyasint"`
	}
)

// Responses.
type (
	// A Committed is the response to a Commit. At most one of the three failures is set.
	Committed struct {
		Conflict    string `cbor:"1,keyasint,omitempty"` // key of the row whose condition did not hold
		Unavailable bool   `cbor:"2,keyasint,omitempty"` // certainly not written
		Unknown     bool   `cbor:"3,keyasint,omitempty"`
	}

	// Data is a part of the body of a response.
	Data struct {
		Data []byte `cbor:"1,keyasint"`
	}

	// An End completes a response.
	End struct{}

	// A Fail ends a response with a verdict.
	Fail struct {
		Verdict judge.Verdict `cbor:"1,keyasint"`
		Reason  judge.Reason  `cbor:"2,keyasint"`
		Message string        `cbor:"3,keyasint"`
		Retry   time.Duration `cbor:"4,keyasint"`
	}

	// A Granted is the response to a Permit: the load may begin.
	Granted struct{}

	// A Head begins a response.
	Head struct {
		Head streamer.Head `cbor:"1,keyasint"`
	}

	// A Surrendered is the response to a Yield.
	Surrendered struct {
		Released bool           `cbor:"1,keyasint"` // false: not released yet, to be asked again
		Pins     map[string]int `cbor:"2,keyasint"`
		Evicting []string       `cbor:"3,keyasint"`
	}

	// A Told is the response to an Inquire.
	Told struct {
		Head publisher.Head `cbor:"1,keyasint"`
	}
)

// Messages of the link itself.
type (
	// A Cancel ends a conversation before its response is complete.
	Cancel struct {
		Abandoned bool `cbor:"1,keyasint,omitempty"` // what the conversation stood for did not take place
	}

	// A Grant lets the sender of a response send Parts more messages.
	Grant struct {
		Parts int `cbor:"1,keyasint"`
	}
)

// A State is the state of a runner by its owner; sent when the resident adapters
// changed.
type State struct {
	Number   int      `cbor:"1,keyasint"` // identifies the runner in each Load on this link
	Name     string   `cbor:"2,keyasint"`
	Resident []string `cbor:"3,keyasint"`
	Loading  []string `cbor:"4,keyasint"`
	Leaving  bool     `cbor:"5,keyasint"`
	Owned    bool     `cbor:"6,keyasint"` // false: the sender no longer serves it
}

// Hundredths is the scale of the values of a Load that are in hundredths.
const Hundredths = 100

// A Load is the load of a runner; sent when it changed.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Number  int
	Running int
	Waiting int
	Free    int
	Ramp    int // fraction of the batch that may be used, in hundredths
	Wait    int // until another adapter load could begin, in hundredths of a second
}

func (Ask) message()         {}
func (Beat) message()        {}
func (Cancel) message()      {}
func (Commit) message()      {}
func (Committed) message()   {}
func (Data) message()        {}
func (End) message()         {}
func (Fail) message()        {}
func (Fetch) message()       {}
func (Grant) message()       {}
func (Granted) message()     {}
func (Head) message()        {}
func (Hello) message()       {}
func (Inquire) message()     {}
func (Permit) message()      {}
func (Preload) message()     {}
func (Surrendered) message() {}
func (Told) message()        {}
func (Yield) message()       {}

// kinds assigns each message type its number on the wire. Numbers are never reused.
var kinds = []Message{
	1: Ask{}, 2: Beat{}, 3: Cancel{}, 4: Data{}, 5: End{}, 6: Fail{}, 7: Fetch{},
	8: Grant{}, 9: Head{}, 10: Hello{}, 11: Inquire{}, 12: Surrendered{}, 13: Told{}, 14: Yield{},
	15: Commit{}, 16: Committed{}, 17: Permit{}, 18: Granted{}, 19: Preload{}, 20: Demand{}, 21: News{}, 22: Subscribe{}, 23: Reserve{}, 24: Reserved{}, 25: Crashes{}, 26: Settle{}, 27: Settled{}, 28: Place{}, 29: Placed{}, 30: Take{}, 31: Taken{}, 32: Notice{}, 33: Noticed{}, 34: Enqueue{}, 35: Queued{},
	36: Watch{}, 37: Status{}, 38: Alive{}, 39: Detour{}, 40: Accepted{}, 41: Begin{}, 42: DetourHead{}, 43: Progress{}, 44: Done{},
	45: Streams{}, 46: FindStream{}, 47: FoundStream{},
}

// kindNumbers is the inverse of kinds.
var kindNumbers = func() map[reflect.Type]uint8 {
	n := make(map[reflect.Type]uint8)
	for i, m := range kinds {
		if m != nil {
			n[reflect.TypeOf(m)] = uint8(i)
		}
	}
	return n
}()

// A frame is one message on a link.
type frame struct {
	_            struct{} `cbor:",toarray"`
	Conversation uint64
	Number       uint32 // sequence number of the message in its response; 0 from the initiator
	Kind         uint8
	Body         cbor.RawMessage
}

func encodeFrame(conversation uint64, number uint32, m Message) ([]byte, error) {
	body, err := encoder.Marshal(m)
	if err != nil {
		return nil, err
	}
	return encoder.Marshal(frame{Conversation: conversation, Number: number, Kind: kindNumbers[reflect.TypeOf(m)], Body: body})
}

// decodeFrame returns the frame and its message.
func decodeFrame(data []byte) (frame, Message, error) {
	var f frame
	if err := encoder.Unmarshal(data, &f); err != nil {
		return f, nil, err
	}
	if int(f.Kind) >= len(kinds) || kinds[f.Kind] == nil {
		return f, nil, fmt.Errorf("unknown message kind %d", f.Kind)
	}
	m := reflect.New(reflect.TypeOf(kinds[f.Kind]))
	if err := encoder.Unmarshal(f.Body, m.Interface()); err != nil {
		return f, nil, err
	}
	return f, m.Elem().Interface().(Message), nil
}

// FailOf returns the message that ends a response with an error.
func FailOf(err error) Fail {
	e := judge.As(err)
	return Fail{Verdict: e.Verdict, Reason: e.Reason, Message: e.Message, Retry: e.RetryAfter}
}

// Err returns the error that ended the response.
func (f Fail) Err() *judge.Error {
	return &judge.Error{Verdict: f.Verdict, Reason: f.Reason, Message: f.Message, RetryAfter: f.Retry}
}

// Handover returns the references and evictions of the previous owner.
func (s Surrendered) Handover() keeper.Handover {
	return keeper.Handover{Pins: s.Pins, Evicting: s.Evicting}
}

// Err returns the result of the commit in the form of a tabler.Table.
func (c Committed) Err() error {
	switch {
	case c.Conflict != "":
		return &tabler.ConflictError{Key: c.Conflict}
	case c.Unavailable:
		return &tabler.UnavailableError{Err: errors.New("told by the instance that gathers")}
	case c.Unknown:
		return &tabler.UnknownError{Err: errors.New("told by the instance that gathers")}
	default:
		return nil
	}
}
