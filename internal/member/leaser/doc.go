// Package leaser decides which instance of a failure domain owns which runner.
//
// One row in the table service holds the domain's Roster: an epoch and the
// members. Every member ranks the members for a runner by rendezvous hashing,
// so that a roster alone names the owner of every runner and no row per runner
// is needed. Each member renews one lease row of its own; the row also tells
// the roster epoch that the member has adopted. An instance acts on a runner it
// has gained only when every other member has adopted the epoch of the gain:
// by adopting it, an earlier owner has given the runner up. A member that does
// not renew for a lease time, measured by the observer's own clock from its own
// first sight of the row, is removed in one transaction that also deletes its
// row, so that its next renewal fails.
//
// The fencing number of a tenure grows with the epoch of its gain.
//
// A Holder is plain state fed by events; it owns no goroutine, socket or clock
// and is not safe for concurrent use.
package leaser
