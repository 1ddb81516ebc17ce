package interpreter

import "fmt"

// A Machine is one run through a Chart. It is not safe for concurrent use.
type Machine struct {
	Chart *Chart
	State string
}

// An UnexpectedError is an event that the chart does not allow in the present
// state. The machine stays where it is.
type UnexpectedError struct {
	Chart string
	State string
	Event string
}

// Error implements error.
func (e *UnexpectedError) Error() string {
	return fmt.Sprintf("chart %s: event %s is not allowed in state %s", e.Chart, e.Event, e.State)
}

// Fire takes the transition that event names, or returns an *UnexpectedError.
func (m *Machine) Fire(event string) error {
	next, ok := m.Chart.Next(m.State, event)
	if !ok {
		return &UnexpectedError{Chart: m.Chart.Name, State: m.State, Event: event}
	}
	m.State = next
	return nil
}
