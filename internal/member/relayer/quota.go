package relayer

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
)

// A Settle reports what the sender has spent to an instance that keeps a ledger of quotas.
type Settle struct {
	_            struct{} `cbor:",toarray"`
	Reporter     limiter.Reporter
	Spent        []limiter.Spent
	Unsubscribed bool // the sender settles with another instance from now on; Spent is not set
}

// A Settled is the response to a Settle and ends the conversation.
type Settled struct {
	_        struct{}          `cbor:",toarray"`
	Age      time.Duration     // since the ledger began
	Balances []limiter.Balance // of the accounts in the Settle that have a quota
}

func (Settle) message()  {}
func (Settled) message() {}
