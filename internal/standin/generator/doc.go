// Package generator stands in for a model engine.
//
// It batches continuously: in each step every running request, up to the batch
// size, gives one token. Adapters stand in slots under the handles they were
// loaded with; a load fetches weights from the weight store. The engine does
// what it is told, also when that breaks a promise: an eviction under a running
// request is carried out, ends the request, and goes into the books. Faults are
// set over /control.
package generator
