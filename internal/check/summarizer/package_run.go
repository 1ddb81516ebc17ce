package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// A state is the state of a test.
type state int

const (
	running state = iota
	paused        // waits for its turn among parallel tests
	failed
)

// A packageRun is the run of the tests of a package.
type packageRun struct {
	name   string
	output []event          // of the package and of the tests that have not passed
	states map[string]state // of the tests that have not passed
}

func (p *packageRun) add(e event) {
	if e.Action == "output" {
		p.output = append(p.output, e)
		return
	}
	if e.Test == "" {
		return
	}
	switch e.Action {
	case "run", "cont":
		p.states[e.Test] = running
	case "pause":
		p.states[e.Test] = paused
	case "fail":
		p.states[e.Test] = failed
	case "pass", "skip":
		delete(p.states, e.Test)
		p.output = slices.DeleteFunc(p.output, func(o event) bool { return o.Test == e.Test })
	}
}

// interrupted returns the tests that were running when the process ended, without the tests that
// were waiting for one of these as their subtest.
func (p *packageRun) interrupted() []string {
	var tests []string
	for _, test := range slices.Sorted(maps.Keys(p.states)) {
		if p.states[test] == running {
			tests = append(tests, test)
		}
	}
	return slices.DeleteFunc(slices.Clone(tests), func(test string) bool {
		return slices.ContainsFunc(tests, func(t string) bool { return strings.HasPrefix(t, test+"/") })
	})
}

// printFailure prints the output of the package and of the tests that have not passed.
func (p *packageRun) printFailure(out io.Writer) {
	for _, o := range p.output {
		if !strings.HasPrefix(o.Output, "=== ") {
			fmt.Fprint(out, o.Output)
		}
	}
	for _, test := range p.interrupted() {
		fmt.Fprintf(out, "DIED\t%s\twhile it ran %s\n", p.name, test)
	}
}

// printResult prints the line with the result of the package.
func (p *packageRun) printResult(out io.Writer) {
	for _, o := range p.output {
		if o.Test == "" && (strings.HasPrefix(o.Output, "ok") || strings.HasPrefix(o.Output, "?")) {
			fmt.Fprint(out, o.Output)
		}
	}
}
