// Package claimer runs requests with an idempotency key at most once.
//
// Before such a request is dispatched, a claim on (account, key) is written to
// the table service on the condition that none exists. A later request with the
// key, through any instance or failure domain, finds the claim: it gets the
// outcome of the first request, waits for it, or gets may_have_run if the
// claimant is gone. Claims are written in batches, many in one transaction.
//
// If the response to a claim is lost, the claim is confirmed by reading back its
// token. If that fails too, the caller is refused, and the claim is withdrawn as
// soon as the store responds again: otherwise a later attempt would get
// may_have_run for a request that never ran.
package claimer
