// Package interpreter loads state machine definitions (charts) from YAML and
// runs them.
//
// The life cycles of adapter slots and leases are YAML files beside the packages
// that use them. The code only fires events. An event without a transition in
// the current state is an UnexpectedError, so that an unforeseen sequence of
// events is detected and counted instead of being carried out.
package interpreter
