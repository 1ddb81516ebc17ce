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

// A Message is what one instance says to another.
//
//sumtype:decl
type Message interface{ message() }

// Messages that open a conversation or stand alone.
type (
	// An Ask passes a request on to the owner of its runner, or to another
	// failure domain.
	Ask struct {
		Call streamer.Call `cbor:"1,keyasint"`
	}

	// A Beat is a heartbeat with what changed since the last one on the link.
	Beat struct {
		Epoch    uint64  `cbor:"1,keyasint"` // roster epoch adopted
		Revision uint64  `cbor:"2,keyasint"` // settings in force
		Leaving  bool    `cbor:"3,keyasint,omitempty"`
		Loads    []Load  `cbor:"4,keyasint,omitempty"`
		States   []State `cbor:"5,keyasint,omitempty"`
		Line     int     `cbor:"6,keyasint,omitempty"` // adapters that stand in line for a load: here, or told to another domain, in the whole domain
	}

	// A Commit asks the instance that gathers for its domain to commit a
	// transaction together with others.
	Commit struct {
		Txn tabler.Txn `cbor:"1,keyasint"`
	}

	// A Fetch asks for a settings object by its key.
	Fetch struct {
		Key string `cbor:"1,keyasint"`
	}

	// A Hello names the instance that dialled; it is the first message.
	Hello struct {
		Instance heartbeater.Instance `cbor:"1,keyasint"`
	}

	// An Inquire asks for the head of the settings in force.
	Inquire struct{}

	// A Preload asks the owner of a runner to load an adapter ahead.
	Preload struct {
		Runner  string `cbor:"1,keyasint"`
		Adapter string `cbor:"2,keyasint"`
	}

	// A Permit bids for a load from the weight store. The conversation lasts as
	// long as the load; its end gives the permit back.
	Permit struct {
		Value    float64       `cbor:"1,keyasint"` // stall that the load removes
		Together int           `cbor:"2,keyasint"` // loads at once, as the sender's settings say
		Time     time.Duration `cbor:"3,keyasint"` // after which the permit runs out
	}

	// A Yield asks whether the receiver has given a runner up under a roster
	// epoch, and what its running requests still use.
	Yield struct {
		Runner string `cbor:"1,keyasint"`
		Epoch  uint64 `cbor:"2,keyasint"`
	}
)

// Messages that answer.
type (
	// A Committed answers a Commit: one of the three failures, or none.
	Committed struct {
		Conflict    string `cbor:"1,keyasint,omitempty"` // row that was not as checked
		Unavailable bool   `cbor:"2,keyasint,omitempty"` // certainly not written
		Unknown     bool   `cbor:"3,keyasint,omitempty"`
	}

	// Data is a part of an answer.
	Data struct {
		Data []byte `cbor:"1,keyasint"`
	}

	// An End says that the answer is whole.
	End struct{}

	// A Fail ends an answer with a verdict.
	Fail struct {
		Verdict judge.Verdict `cbor:"1,keyasint"`
		Reason  judge.Reason  `cbor:"2,keyasint"`
		Message string        `cbor:"3,keyasint"`
		Retry   time.Duration `cbor:"4,keyasint"`
	}

	// A Granted says that the load may begin.
	Granted struct{}

	// A Head begins an answer.
	Head struct {
		Head streamer.Head `cbor:"1,keyasint"`
	}

	// A Surrendered answers a Yield.
	Surrendered struct {
		Given bool           `cbor:"1,keyasint"` // false: not yet, ask again
		Pins  map[string]int `cbor:"2,keyasint"`
		Doom  []string       `cbor:"3,keyasint"`
	}

	// A Told answers an Inquire.
	Told struct {
		Head publisher.Head `cbor:"1,keyasint"`
	}
)

// Messages of the link itself.
type (
	// A Cancel ends a conversation whose opener wants no more.
	Cancel struct{}

	// A Grant lets the sender of an answer send Parts more messages.
	Grant struct {
		Parts int `cbor:"1,keyasint"`
	}
)

// A State is a runner as its owner sees it; sent when what is resident changed.
type State struct {
	Number   int      `cbor:"1,keyasint"` // by which Loads name the runner on this link
	Name     string   `cbor:"2,keyasint"`
	Resident []string `cbor:"3,keyasint"`
	Loading  []string `cbor:"4,keyasint"`
	Leaving  bool     `cbor:"5,keyasint"`
	Owned    bool     `cbor:"6,keyasint"` // false: the sender serves it no more
}

// Hundredths scales what a Load tells in hundredths.
const Hundredths = 100

// A Load is how busy a runner is; sent when it changed.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Number  int
	Running int
	Waiting int
	Free    int
	Ramp    int // part of the batch given out, in hundredths
	Wait    int // until a further load would begin, in hundredths of a second
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

// kinds gives each message its number on the wire. Numbers are never reused.
var kinds = []Message{
	1: Ask{}, 2: Beat{}, 3: Cancel{}, 4: Data{}, 5: End{}, 6: Fail{}, 7: Fetch{},
	8: Grant{}, 9: Head{}, 10: Hello{}, 11: Inquire{}, 12: Surrendered{}, 13: Told{}, 14: Yield{},
	15: Commit{}, 16: Committed{}, 17: Permit{}, 18: Granted{}, 19: Preload{}, 20: Demand{}, 21: News{}, 22: Subscribe{}, 23: Reserve{}, 24: Reserved{}, 25: Crashes{}, 26: Settle{}, 27: Settled{}, 28: Place{}, 29: Placed{},
}

// numbers is the inverse of kinds.
var numbers = func() map[reflect.Type]uint8 {
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
	Number       uint32 // of the message in its answer; 0 from the opener
	Kind         uint8
	Body         cbor.RawMessage
}

func encodeFrame(conversation uint64, number uint32, m Message) ([]byte, error) {
	body, err := encoder.Marshal(m)
	if err != nil {
		return nil, err
	}
	return encoder.Marshal(frame{Conversation: conversation, Number: number, Kind: numbers[reflect.TypeOf(m)], Body: body})
}

// decodeFrame returns the frame and its message.
func decodeFrame(data []byte) (frame, Message, error) {
	var f frame
	if err := encoder.Unmarshal(data, &f); err != nil {
		return f, nil, err
	}
	if int(f.Kind) >= len(kinds) || kinds[f.Kind] == nil {
		return f, nil, fmt.Errorf("unknown kind of message %d", f.Kind)
	}
	m := reflect.New(reflect.TypeOf(kinds[f.Kind]))
	if err := encoder.Unmarshal(f.Body, m.Interface()); err != nil {
		return f, nil, err
	}
	return f, m.Elem().Interface().(Message), nil
}

// failOf returns the message that ends an answer with an error.
func failOf(err error) Fail {
	e := judge.As(err)
	return Fail{Verdict: e.Verdict, Reason: e.Reason, Message: e.Message, Retry: e.Retry}
}

// Surrender returns the answer's content.
func (s Surrendered) Surrender() keeper.Surrender {
	return keeper.Surrender{Pins: s.Pins, Doomed: s.Doom}
}

// Err returns how the commit ended, as the table itself would have told.
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
