package interpreter

import "fmt"

// A Machine is an instance of a Chart with its current state. It is not safe for
// concurrent use.
type Machine struct {
	Chart *Chart
	State string
}

// An UnexpectedError reports an event that the chart does not allow in the
// current state. The machine keeps its state.
type UnexpectedError struct {
	Chart string
	State string
	Event string
}

// Error implements error.
func (e *UnexpectedError) Error() string {
	return fmt.Sprintf("chart %s: event %s is not allowed in state %s", e.Chart, e.Event, e.State)
}

// Fire performs the transition for event, or returns an *UnexpectedError.
func (m *Machine) Fire(event string) error {
	next, ok := m.Chart.Next(m.State, event)
	if !ok {
		return &UnexpectedError{Chart: m.Chart.Name, State: m.State, Event: event}
	}
	m.State = next
	return nil
}
