// Package limiter enforces the quotas of client accounts across all instances.
//
// Each instance has a Spender, which admits requests. Some instances also keep a Ledger.
// Spenders report to a Ledger the tokens that they have spent, and it replies with the
// tokens that are left. A Spender admits requests within its share of these locally and
// asks the Ledger for more. A Spender that reaches no Ledger continues with its last share,
// which the Ledgers reserve for it.
//
// The package has no clock, goroutines or sockets of its own.
package limiter
