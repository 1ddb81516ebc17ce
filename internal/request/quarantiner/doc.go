// Package quarantiner decides which requests are not run because they crash the runners
// that run them.
//
// Such a request is known as a query of death. One crash shows little: everything that
// ran beside it is as suspect. So a Ledger counts, for each request, the runners that
// crashed while they ran it, over all instances; three of them put it in quarantine. A
// run that ends whole clears a request of what it was suspected of.
//
// What a Ledger holds is a set that only grows, and a crash that was cleared stays so.
// Instances that were told of the same crashes, in whatever order and however often,
// come to the same verdicts; nobody has to be the one who counts.
package quarantiner
