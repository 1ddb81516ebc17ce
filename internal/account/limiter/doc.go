// Package limiter keeps the quotas of client accounts over all instances.
//
// Each instance has a Spender, which admits requests. Some instances keep a Ledger, to
// which Spenders settle what they have spent and which answers how much is left. A Spender
// admits by itself what is its share of that; beyond it asks. One that reaches no Ledger
// goes on with the share that it had, which the Ledgers keep back for it.
//
// It has no clock, goroutine or socket of its own.
package limiter
