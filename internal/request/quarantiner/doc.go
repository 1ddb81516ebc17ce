// Package quarantiner quarantines requests that crash the runners that run them.
//
// Such a request is known as a query of death. A single crash is weak evidence, as every
// request that ran on the runner is equally suspect. So a Ledger counts, for each request,
// the runners that crashed while they ran it, across all instances; three of them put the
// request in quarantine. A completed run clears the request of its crashes so far.
//
// A request shares parts of its prompt with others, and one of these parts may be what crashes the
// runners. Each part counts beside the request as a whole; a Soundness tells which parts cannot be
// the cause.
//
// The state of a Ledger is a grow-only set of crashes, and a cleared crash stays cleared.
// Instances that receive the same crash reports, in any order and any number of times, come
// to the same verdicts without a coordinator.
package quarantiner
