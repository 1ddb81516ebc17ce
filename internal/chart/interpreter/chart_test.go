package interpreter_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/chart/interpreter"
)

const door = `
name: door
start: closed
states:
  - name: closed
    on: {open: ajar}
  - name: ajar
    on: {close: closed, break: broken}
  - name: broken
    end: true
`

func ExampleChart_Machine() {
	machine := interpreter.MustLoad([]byte(door)).Machine()
	fmt.Println(machine.Fire("open"), machine.State)
	fmt.Println(machine.Fire("open"), machine.State)
	// Output:
	// <nil> ajar
	// chart door: event open is not allowed in state ajar ajar
}

func TestFireKeepsStateOnUnexpectedEvent(t *testing.T) {
	machine := interpreter.MustLoad([]byte(door)).Machine()
	err := machine.Fire("break")
	var unexpected *interpreter.UnexpectedError
	if !errors.As(err, &unexpected) {
		t.Fatalf("Fire = %v, want *UnexpectedError", err)
	}
	want := &interpreter.UnexpectedError{Chart: "door", State: "closed", Event: "break"}
	if diff := cmp.Diff(want, unexpected); diff != "" {
		t.Error(diff)
	}
}

func TestLoadRejectsInvalidCharts(t *testing.T) {
	for _, tc := range []struct{ name, text string }{
		{"unknown start", "name: x\nstart: a\nstates: []\n"},
		{"unknown target", "name: x\nstart: a\nstates: [{name: a, on: {go: b}}]\n"},
		{"unreachable", "name: x\nstart: a\nstates: [{name: a, end: true}, {name: b, end: true}]\n"},
		{"no outgoing transition", "name: x\nstart: a\nstates: [{name: a}]\n"},
		{"end state with a transition", "name: x\nstart: a\nstates: [{name: a, end: true, on: {go: a}}]\n"},
		{"unknown field", "name: x\nstart: a\nspeed: 3\nstates: [{name: a, end: true}]\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := interpreter.Load([]byte(tc.text)); err == nil {
				t.Error("Load accepted an invalid chart")
			}
		})
	}
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(door))
	f.Add([]byte("name: x\nstart: a\nstates: [{name: a, on: {go: b}}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		chart, err := interpreter.Load(data)
		if err != nil {
			return
		}
		for _, s := range chart.States {
			for event, next := range s.On {
				if got, _ := chart.Next(s.Name, event); got != next {
					t.Errorf("Next(%q, %q) = %q, want %q", s.Name, event, got, next)
				}
			}
		}
	})
}
