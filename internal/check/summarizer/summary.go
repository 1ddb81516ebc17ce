package main

import (
	"encoding/json"
	"fmt"
	"io"
)

// An event is a line of "go test -json" (go doc test2json).
type event struct {
	Action  string
	Output  string
	Package string
	Test    string
}

// A summary is made of the events of several packages, whose processes run side by side.
type summary struct {
	out      io.Writer
	packages map[string]*packageRun
}

// add adds a line of the input. A line that is no event of a package, such as the output of a failed
// build, is printed.
func (s *summary) add(line []byte) {
	var e event
	if err := json.Unmarshal(line, &e); err != nil {
		fmt.Fprintf(s.out, "%s\n", line)
		return
	}
	if e.Package == "" {
		fmt.Fprint(s.out, e.Output)
		return
	}
	p := s.packages[e.Package]
	if p == nil {
		p = &packageRun{name: e.Package, states: make(map[string]state)}
		s.packages[e.Package] = p
	}
	p.add(e)
	if e.Test != "" {
		return
	}
	switch e.Action {
	case "fail":
		p.printFailure(s.out)
		delete(s.packages, e.Package)
	case "pass", "skip":
		p.printResult(s.out)
		delete(s.packages, e.Package)
	}
}
