// Package keeper manages the adapter slots of one runner: it decides which copies
// may serve requests, and which are loaded and evicted.
//
// It maintains two invariants: an adapter that serves a request is not evicted,
// and a request is sent only to a copy whose residency is confirmed. The engine
// identifies each copy by a Handle that contains the incarnation that loaded it.
// A Keeper evicts a copy only if its own incarnation loaded it, or if every
// incarnation that may still use the copy has been cleared: it has confirmed that
// it released the runner, or it is no longer in the platform's instance list. The
// rule needs no bound on how long a process can pause, and it holds for engines
// that ignore fencing tokens. docs/design/custody.md discusses the alternatives.
//
// A Keeper is a data structure without goroutines, I/O or a clock. It is not safe
// for concurrent use.
package keeper
