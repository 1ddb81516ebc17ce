// Package registrar implements a stand-in for the platform: its table service,
// object store, instance list and weight store, over HTTP on one address.
//
// Faults are set through the path /control, and /books returns counters of the calls.
// The instance list is delayed by the configured lag; an instance is removed from it
// when its process has terminated.
package registrar
