// Package interpreter loads state charts from YAML and runs them.
//
// A life cycle (an adapter slot, a request, a lease, an instance) is a file
// beside the package that uses it. The code only fires events: an event that
// has no transition in the present state is an UnexpectedError, so a step that
// nobody thought of is seen and counted instead of being carried out.
package interpreter
