// Package orderer runs one runner at its owner: who waits, who starts on which
// copy of the adapter, and what is ordered from the engine.
//
// A Runner joins a Keeper (slots and pins) with a Queue (who waits). A request
// is pinned in the same step that starts it, so that no eviction can fall in
// between. A Runner is plain state and not safe for concurrent use.
package orderer
