package parser

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/sardinetiller/sardinetiller/internal/setting/decoder"
)

// The kinds of files.
const (
	kindAccount = "account"
	kindRoot    = "root"
	kindService = "service"
)

// A Fault is one validation error in a settings file.
type Fault struct {
	File    string
	Line    int // 0 if unknown
	Field   string
	Message string // what is wrong and how to fix it
}

// String returns file:line: field: message.
func (f Fault) String() string {
	position := f.File
	if f.Line > 0 {
		position = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Field == "" {
		return fmt.Sprintf("%s: %s", position, f.Message)
	}
	return fmt.Sprintf("%s: %s: %s", position, f.Field, f.Message)
}

// An InvalidError reports all faults of an invalid tree.
type InvalidError struct{ Faults []Fault }

// Error implements error. It returns one line for each fault.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Parse parses and validates a tree, given the contents of its files by name. It
// returns an *InvalidError if there are any faults.
func Parse(files map[string][]byte) (*Tree, error) {
	p := &parseState{files: files, tree: &Tree{}, sources: make(map[string]string)}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		p.parseFile(name)
	}
	p.check()
	if len(p.faults) > 0 {
		return nil, &InvalidError{Faults: p.faults}
	}
	return p.tree, nil
}

// A parseState is the state of one call of Parse.
type parseState struct {
	faults  []Fault
	files   map[string][]byte
	sources map[string]string // kind/name to file
	tree    *Tree
}

// addFault records a fault at a YAML path of a file, such as
// $.upstreams[0].slots.
func (p *parseState) addFault(file, path, format string, args ...any) {
	f := Fault{File: file, Field: strings.TrimPrefix(path, "$."), Message: fmt.Sprintf(format, args...)}
	f.Line = lineOf(p.files[file], path)
	p.faults = append(p.faults, f)
}

func (p *parseState) parseFile(name string) {
	var head struct {
		Kind string `yaml:"kind"`
		Name string `yaml:"name"`
	}
	data := p.files[name]
	if err := decoder.Loose(data, &head); err != nil {
		p.addSyntaxError(name, err)
		return
	}
	if other, exists := p.sources[head.Kind+"/"+head.Name]; exists {
		p.addFault(name, "$.name", "%s %q is already declared in %s; keep one of them", head.Kind, head.Name, other)
		return
	}
	p.sources[head.Kind+"/"+head.Name] = name
	switch head.Kind {
	case kindAccount:
		var a Account
		if p.decode(name, &a) {
			p.tree.Accounts = append(p.tree.Accounts, a)
		}
	case kindRoot:
		p.decode(name, &p.tree.Root)
	case kindService:
		var s Service
		if p.decode(name, &s) {
			p.tree.Services = append(p.tree.Services, s)
		}
	default:
		p.addFault(name, "$.kind", "kind is %q; write root, service or account", head.Kind)
	}
}

func (p *parseState) decode(name string, into any) bool {
	err := decoder.Strict(p.files[name], into)
	if err != nil {
		p.addSyntaxError(name, err)
	}
	return err == nil
}

// addSyntaxError records an error of the YAML library, with its line and field if
// known.
func (p *parseState) addSyntaxError(name string, err error) {
	f := Fault{File: name, Message: yaml.FormatError(err, false, false)}
	var yamlErr yaml.Error
	if asYAML(err, &yamlErr) {
		f.Message = yamlErr.GetMessage() + "; see docs/SETTINGS.md for the fields"
		if token := yamlErr.GetToken(); token != nil {
			f.Line = token.Position.Line
			f.Field = token.Value
		}
	}
	p.faults = append(p.faults, f)
}
