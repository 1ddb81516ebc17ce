// Package decoder decodes YAML that people wrote.
package decoder

import (
	"fmt"

	"github.com/goccy/go-yaml"
)

// Loose decodes data and ignores unknown fields.
func Loose(data []byte, into any) error {
	return decode(data, into)
}

// Strict decodes data and refuses unknown fields.
func Strict(data []byte, into any) error {
	return decode(data, into, yaml.Strict())
}

// decode turns a panic of the library into an error. Some input makes it panic,
// such as a bare "!" where a list is expected (found by FuzzParse); an instance
// that is told of such a tree would end.
func decode(data []byte, into any, options ...yaml.DecodeOption) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = fmt.Errorf("not readable as YAML (%v); look for a stray ! or &", reason)
		}
	}()
	return yaml.UnmarshalWithOptions(data, into, options...)
}
