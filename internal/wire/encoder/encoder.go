// Package encoder is the one place that sets how messages become bytes: CBOR
// with bounds, the same for peers, platform rows and stored objects.
package encoder

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// The bounds of a decoded message. They keep a broken or hostile peer from
// making this process allocate without limit.
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

// Marshal encodes a value. The same value always gives the same bytes.
func Marshal(value any) ([]byte, error) {
	data, err := encode.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return data, nil
}

// Unmarshal decodes a value and refuses what follows it.
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
