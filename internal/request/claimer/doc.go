// Package claimer keeps a request that must not run twice from running twice.
//
// Such a request carries an idempotency key. Before it is dispatched, a claim
// on (account, key) is written to the table service on condition that there is
// none. Whoever comes second, through whatever instance or failure domain,
// finds the claim: it is given the first one's outcome, waits for it, or is told
// may_have_run when the claimant is gone. Claims are written in groups, many
// in one transaction. A claim whose answer was lost is settled by reading back
// its own token; one that was refused to its caller all the same is withdrawn
// as soon as the store answers again, so that an honest later attempt is not
// told may_have_run for it.
package claimer
