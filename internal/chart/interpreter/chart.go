package interpreter

import (
	"fmt"
	"slices"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
)

// A Chart is a state machine definition: named states and the events that cause
// transitions between them.
type Chart struct {
	Name   string  `yaml:"name"`
	Start  string  `yaml:"start"`
	States []State `yaml:"states"`
}

// A State is one state of a Chart.
type State struct {
	Name string            `yaml:"name"`
	On   map[string]string `yaml:"on"`  // event to target state
	End  bool              `yaml:"end"` // a final state; it has no transitions
}

// Load decodes and validates a chart. It fails on unknown fields, on a
// transition to an unknown state, on an unreachable state, on a final state with
// transitions, and on any other state without.
func Load(data []byte) (*Chart, error) {
	var chart Chart
	if err := yaml.UnmarshalWithOptions(data, &chart, yaml.Strict()); err != nil {
		return nil, errors.Wrap(err, "decode chart")
	}
	if err := chart.check(); err != nil {
		return nil, errors.Wrapf(err, "chart %q", chart.Name)
	}
	return &chart, nil
}

// MustLoad is like Load but panics if the chart is invalid. It is meant for
// embedded charts, where any test of the embedding package shows the panic.
func MustLoad(data []byte) *Chart {
	chart, err := Load(data)
	if err != nil {
		panic(err)
	}
	return chart
}

// Machine returns a new machine in the chart's start state.
func (c *Chart) Machine() *Machine {
	return &Machine{Chart: c, State: c.Start}
}

// Next returns the target state of event in state, and whether the chart has
// such a transition.
func (c *Chart) Next(state, event string) (string, bool) {
	s, ok := c.state(state)
	if !ok {
		return "", false
	}
	next, ok := s.On[event]
	return next, ok
}

func (c *Chart) check() error {
	if _, ok := c.state(c.Start); !ok {
		return fmt.Errorf("start: state %q is not declared", c.Start)
	}
	for _, s := range c.States {
		if err := c.checkState(s); err != nil {
			return err
		}
	}
	reachable := c.reachable()
	for _, s := range c.States {
		if !slices.Contains(reachable, s.Name) {
			return fmt.Errorf("state %q is unreachable", s.Name)
		}
	}
	return nil
}

func (c *Chart) checkState(s State) error {
	if s.End && len(s.On) > 0 {
		return fmt.Errorf("state %q: an end state must not have transitions", s.Name)
	}
	if !s.End && len(s.On) == 0 {
		return fmt.Errorf("state %q: no outgoing transition; add one or mark the state end: true", s.Name)
	}
	for event, next := range s.On {
		if _, ok := c.state(next); !ok {
			return fmt.Errorf("state %q: event %q leads to unknown state %q", s.Name, event, next)
		}
	}
	return nil
}

func (c *Chart) reachable() []string {
	reached := []string{c.Start}
	for i := 0; i < len(reached); i++ {
		s, _ := c.state(reached[i])
		for _, next := range s.On {
			if !slices.Contains(reached, next) {
				reached = append(reached, next)
			}
		}
	}
	return reached
}

func (c *Chart) state(name string) (State, bool) {
	i := slices.IndexFunc(c.States, func(s State) bool { return s.Name == name })
	if i < 0 {
		return State{}, false
	}
	return c.States[i], true
}
