package relayer

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
)

// A Settle tells an instance that keeps a ledger of quotas what the sender has spent.
type Settle struct {
	_      struct{} `cbor:",toarray"`
	Party  limiter.Party
	Spent  []limiter.Spent
	Parted bool // the sender settles with another instance from now on; Spent says nothing
}

// A Settled answers a Settle and ends the answer.
type Settled struct {
	_        struct{}          `cbor:",toarray"`
	Age      time.Duration     // since the ledger began
	Balances []limiter.Balance // of the accounts that were told of and have a quota
}

func (Settle) message()  {}
func (Settled) message() {}
