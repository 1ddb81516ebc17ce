package limiter

import "time"

// A Party is an instance that settles what it has spent.
type Party struct {
	_        struct{} `cbor:",toarray"`
	Instance string
	Born     int64         // number of its incarnation; a later one has a larger number
	Domain   string        // whose Ledger settles what its Spenders have spent; empty for a Spender
	Age      time.Duration // since its counters were zero
}

// isLedger reports whether the party is a Ledger.
func (p Party) isLedger() bool { return p.Domain != "" }

// A Spent is what a party has spent of one account's quota.
type Spent struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Counter int64 // all tokens since its counters were zero, less those that were given back
	Recent  int64 // those of them since its last update to anybody
	Want    int64 // for a request that waits for the answer; 0 for none
	Seq     int64 // number of the update; those that are overtaken by a later one say nothing of the counter
}

// A Balance is how one account stands over all instances, as far as a Ledger knows.
type Balance struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Counted int64 // of the party's counter
	Granted bool  // what it wanted is counted too, and may be spent
	Left    int64 // tokens; negative if too many were spent
	Use     int64 // tokens a second
}
