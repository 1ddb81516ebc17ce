// Package decoder decodes YAML files written by hand.
package decoder

import (
	"fmt"

	"github.com/goccy/go-yaml"
)

// Loose decodes data and ignores unknown fields.
func Loose(data []byte, into any) error {
	return decode(data, into)
}

// Strict decodes data and fails on unknown fields.
func Strict(data []byte, into any) error {
	return decode(data, into, yaml.Strict())
}

// decode turns a panic of the YAML library into an error. The library panics on
// some input, such as a bare "!" where a list is expected (found by FuzzParse).
// An instance that received such a tree would crash.
func decode(data []byte, into any, options ...yaml.DecodeOption) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = fmt.Errorf("invalid YAML (%v); look for a stray ! or &", reason)
		}
	}()
	return yaml.UnmarshalWithOptions(data, into, options...)
}
