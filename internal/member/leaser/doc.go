// Package leaser decides which instance of a failure domain owns which runner.
//
// One row in the table service holds the domain's Roster: an epoch and the
// members. Every member ranks the members for a runner by rendezvous hashing, so
// that the roster alone determines the owner of every runner and no row per runner
// is needed. Each member renews one lease row of its own; the row also contains the
// roster epoch that the member has adopted. An instance sends orders to a runner it
// has gained only when every other member has adopted the epoch of the gain: by
// adopting it, the previous owner has released the runner. A member that does not
// renew for a lease duration, measured by the observer's own clock from when it
// first observed the last renewal, is removed in one transaction that also deletes
// its row, so that its next renewal fails.
//
// The fencing token for a runner increases with the epoch in which it was gained.
//
// A Holder is a plain state machine driven by events; it owns no goroutine, socket
// or clock and is not safe for concurrent use.
package leaser
