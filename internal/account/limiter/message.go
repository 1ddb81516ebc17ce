package limiter

import "time"

// A Reporter identifies an instance that settles what it has spent.
type Reporter struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation int64         // number of its incarnation; a later one has a larger number
	Domain      string        // failure domain of a Ledger that reports for its Spenders; empty for a Spender
	Age         time.Duration // time since its counters were zero
}

// isLedger reports whether the reporter is a Ledger.
func (r Reporter) isLedger() bool { return r.Domain != "" }

// A Spent is the report of the tokens spent of one account's quota.
type Spent struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Counter int64 // all tokens since the counters were zero, less those returned
	Recent  int64 // tokens since the last update to any Ledger
	Want    int64 // tokens of a request that waits for the reply; 0 for none
	Seq     int64 // sequence number; the counter of an update that arrives after a later one is ignored

	// Set only where requests are admitted by urgency. Their place in messages is up to the sender.
	Asked []int64 `cbor:"-"` // by urgency: tokens of all requests since the counters were zero, admitted or not
	Level int     `cbor:"-"` // urgency of the request that waits for the reply; -1: the floor of its level covers it
}

// A Balance is the state of an account's quota across all instances, as known to a Ledger.
type Balance struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Counted int64 // the reporter's counter as far as it is included here
	Granted bool  // the wanted tokens are included and may be spent
	Left    int64 // tokens left; negative if too many were spent
	Usage   int64 // mean use, in tokens a second

	// By urgency: tokens a second that are asked for, admitted or not; nil if that is little. Set
	// only where requests are admitted by urgency.
	Demand []int64 `cbor:"-"`
}

// level returns the level of the request that waits for the reply. Without a demand the reporter
// does not admit requests by urgency, and its request need not leave what is reserved.
func (s Spent) level() int {
	if len(s.Asked) == 0 {
		return covered
	}
	return max(covered, min(s.Level, urgencyLevels-1))
}
