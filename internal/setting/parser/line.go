package parser

import (
	"bytes"
	"errors"

	"github.com/goccy/go-yaml"
)

func asYAML(err error, into *yaml.Error) bool {
	return errors.As(err, into)
}

// lineOf returns the line number of a YAML path, or 0 if the file does not have
// it.
func lineOf(data []byte, path string) (line int) {
	defer func() { _ = recover() }() // the library may panic; the fault then has no line number
	p, err := yaml.PathString(path)
	if err != nil {
		return 0
	}
	node, err := p.ReadNode(bytes.NewReader(data))
	if err != nil || node == nil {
		return 0
	}
	return node.GetToken().Position.Line
}
