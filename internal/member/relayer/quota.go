package relayer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// Demand for quotas by urgency is an optional last element of a Settle and of a Settled, with one
// entry for each element of Spent or Balances. Where requests are not admitted by urgency, it is
// absent, and the messages are as they were before there was one.

// errDemand is the error for a demand that does not match the other elements.
var errDemand = errors.New("the demand does not match the accounts")

// A Settle reports what the sender has spent to an instance that keeps a ledger of quotas.
type Settle struct {
	Reporter     limiter.Reporter
	Spent        []limiter.Spent
	Unsubscribed bool // the sender settles with another instance from now on; Spent is not set
}

// A Settled is the response to a Settle and ends the conversation.
type Settled struct {
	Age      time.Duration     // since the ledger began
	Balances []limiter.Balance // of the accounts in the Settle that have a quota
}

// MarshalCBOR implements cbor.Marshaler.
func (s Settle) MarshalCBOR() ([]byte, error) {
	elements := []any{s.Reporter, s.Spent, s.Unsubscribed}
	demand := make([]askedTokens, len(s.Spent))
	stated := false
	for n, spent := range s.Spent {
		demand[n] = askedTokens{Level: spent.Level, Asked: spent.Asked}
		stated = stated || len(spent.Asked) > 0
	}
	if stated {
		elements = append(elements, demand)
	}
	return encoder.Marshal(elements)
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (s *Settle) UnmarshalCBOR(data []byte) error {
	var demand []askedTokens
	if err := decodeElements(data, 3, &s.Reporter, &s.Spent, &s.Unsubscribed, &demand); err != nil {
		return err
	}
	if len(demand) > 0 && len(demand) != len(s.Spent) {
		return errDemand
	}
	for n, d := range demand {
		s.Spent[n].Level, s.Spent[n].Asked = d.Level, d.Asked
	}
	return nil
}

// MarshalCBOR implements cbor.Marshaler.
func (s Settled) MarshalCBOR() ([]byte, error) {
	elements := []any{s.Age, s.Balances}
	demand := make([][]int64, len(s.Balances))
	stated := false
	for n, b := range s.Balances {
		demand[n] = b.Demand
		stated = stated || len(b.Demand) > 0
	}
	if stated {
		elements = append(elements, demand)
	}
	return encoder.Marshal(elements)
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (s *Settled) UnmarshalCBOR(data []byte) error {
	var demand [][]int64
	if err := decodeElements(data, 2, &s.Age, &s.Balances, &demand); err != nil {
		return err
	}
	if len(demand) > 0 && len(demand) != len(s.Balances) {
		return errDemand
	}
	for n, d := range demand {
		s.Balances[n].Demand = d
	}
	return nil
}

// askedTokens is the demand for the quota of one account in a Settle.
type askedTokens struct {
	_     struct{} `cbor:",toarray"`
	Level int
	Asked []int64
}

// decodeElements decodes an array with a number of required elements; further ones are optional.
func decodeElements(data []byte, required int, into ...any) error {
	var elements []cbor.RawMessage
	if err := encoder.Unmarshal(data, &elements); err != nil {
		return err
	}
	if len(elements) < required || len(elements) > len(into) {
		return errors.Errorf("%d elements, not %d to %d", len(elements), required, len(into))
	}
	for n, element := range elements {
		if err := encoder.Unmarshal(element, into[n]); err != nil {
			return err
		}
	}
	return nil
}

func (Settle) message()  {}
func (Settled) message() {}
