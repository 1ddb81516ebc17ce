// Package encoder defines the serialization of messages to peers, platform rows
// and stored objects: deterministic CBOR with size limits on decoding.
package encoder

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Limits of a decoded message. They keep a faulty or hostile peer from making
// this process allocate without bound.
const (
	maxElements = 1 << 17
	maxNesting  = 16
)

var (
	encode = must(cbor.CoreDetEncOptions().EncMode())
	decode = must(cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode())
)

// Marshal encodes a value deterministically: equal values give equal bytes.
func Marshal(value any) ([]byte, error) {
	data, err := encode.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return data, nil
}

// Unmarshal decodes a value and fails on trailing data.
func Unmarshal(data []byte, into any) error {
	if err := decode.Unmarshal(data, into); err != nil {
		return errors.Wrap(err, "decode")
	}
	return nil
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
