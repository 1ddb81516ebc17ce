// Package keeper decides what stands in the slots of one runner: what may be
// served, loaded and evicted.
//
// It guards two promises: an adapter that serves a request is not evicted, and
// a request reaches only a copy whose residency is confirmed. The engine knows
// each copy by a Handle that names the incarnation that loaded it. A Keeper
// evicts a copy only if its own incarnation loaded it, or if every incarnation
// that may still use the copy has been cleared: it has answered that it gave
// the runner up, or it is gone from the platform's instance list. The rule
// needs no bound on how long a process can pause, and it holds for engines that
// ignore fencing numbers. docs/design/custody.md tells what else was weighed.
//
// A Keeper is plain state: no goroutine, socket or clock of its own. It is not
// safe for concurrent use.
package keeper
