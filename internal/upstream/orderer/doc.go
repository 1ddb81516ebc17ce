// Package orderer schedules the requests of one runner at the instance that owns
// it: which requests wait, which start on which copy of an adapter, and which loads
// are needed.
//
// A Runner combines a Keeper (adapter slots and pins) with a Queue (waiting
// requests). A request is pinned in the same step that starts it, so that no
// eviction can come in between. A Runner is a data structure without I/O and not
// safe for concurrent use.
package orderer
