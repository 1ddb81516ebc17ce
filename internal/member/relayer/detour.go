package relayer

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// A Watch asks a peer for its Status, now and at intervals until the conversation ends.
type Watch struct{}

// A Status is what an instance states about itself to those that watch it.
type Status struct {
	Active    int      `cbor:"1,keyasint"`           // requests in progress
	Stopping  bool     `cbor:"2,keyasint,omitempty"` // it accepts no further requests
	Unreached []string `cbor:"3,keyasint,omitempty"` // services whose runners it does not reach, or not well
}

// An Alive shows that the sender is alive while its detours are in progress. It has no
// response.
type Alive struct{}

// A Detour asks a peer to serve a request whose runners the sender does not reach. The
// response is an Accepted, and after a Begin the messages of the response: a DetourHead and
// Data, with a Progress before each further execution, and a Done at the end. The peer runs
// nothing before the Begin.
type Detour struct {
	ID          string             `cbor:"1,keyasint"`
	Account     string             `cbor:"2,keyasint,omitempty"`
	Service     string             `cbor:"3,keyasint"`
	Copy        placer.Copy        `cbor:"4,keyasint"`
	LastEventID int                `cbor:"5,keyasint,omitempty"`
	Resumed     bool               `cbor:"6,keyasint,omitempty"` // the caller has received a part of the response
	Method      string             `cbor:"7,keyasint"`
	Target      string             `cbor:"8,keyasint"`
	Head        []byte             `cbor:"9,keyasint,omitempty"`
	Body        []byte             `cbor:"10,keyasint,omitempty"`
	Priority    int                `cbor:"11,keyasint,omitempty"`
	Tokens      int                `cbor:"12,keyasint,omitempty"`
	Waited      time.Duration      `cbor:"13,keyasint"` // since the request arrived
	Left        time.Duration      `cbor:"14,keyasint"` // until its caller stops waiting
	Route       DetourRoute        `cbor:"15,keyasint"`
	Idle        time.Duration      `cbor:"16,keyasint,omitempty"` // since the caller received the last event
	Avoid       []string           `cbor:"17,keyasint,omitempty"` // runners whose connections broke under the request
	Pin         tracker.VersionPin `cbor:"18,keyasint,omitzero"`  // software version at which the stream began
	Parts       []string           `cbor:"19,keyasint,omitempty"` // of the prompt, that other requests may share
	Engine      *bool              `cbor:"20,keyasint,omitempty"` // whether the service has an engine; nil: as the receiver's configuration says
}

// A DetourRoute holds what the sender's configuration says of the request. MaxExecutions is
// what is left of it.
type DetourRoute struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Host          string
	Kind          matcher.Kind
	MaxExecutions int
	MaxGap        time.Duration
	LatencyTarget time.Duration
	Resumable     bool
	Timeout       time.Duration
}

// An Accepted states that the receiver of a Detour has room for the request.
type Accepted struct{}

// A Begin lets the receiver of a Detour run the request.
type Begin struct{}

// A DetourHead begins the response of a runner.
type DetourHead struct {
	Status  int
	Header  []string // names and values in turns
	Version string   // software version of the runner
}

// MarshalCBOR implements cbor.Marshaler. The version is an optional last element.
func (h DetourHead) MarshalCBOR() ([]byte, error) {
	elements := []any{h.Status, h.Header}
	if h.Version != "" {
		elements = append(elements, h.Version)
	}
	return encoder.Marshal(elements)
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (h *DetourHead) UnmarshalCBOR(data []byte) error {
	return decodeElements(data, 2, &h.Status, &h.Header, &h.Version)
}

// A Progress states how many times the request may have been executed by now.
type Progress struct {
	_          struct{} `cbor:",toarray"`
	Executions int
}

// A Done ends the response to a Detour.
type Done struct {
	Arrivals   int   `cbor:"1,keyasint"`           // times that the request reached a runner
	Executions int   `cbor:"2,keyasint"`           // times that it may have been executed
	Failure    *Fail `cbor:"3,keyasint,omitempty"` // nil after a complete response
}

// An InstanceAddress names an instance and where its peers reach it.
type InstanceAddress struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Address string
}

func (Accepted) message()   {}
func (Alive) message()      {}
func (Begin) message()      {}
func (Detour) message()     {}
func (DetourHead) message() {}
func (Done) message()       {}
func (Progress) message()   {}
func (Status) message()     {}
func (Watch) message()      {}
