// Package generator implements a stand-in for a model engine.
//
// It uses continuous batching: in each step every running request, up to the batch
// size, emits one token. Adapters occupy slots under the handles they were loaded
// with; a load fetches the weights from the weight store. The engine executes
// orders even if they violate an invariant: an eviction of an adapter with running
// requests is executed, aborts the requests, and is recorded. Faults are set
// through /control.
package generator
