package scheduler

// turns keeps the accounts of one priority in turn by start-time fair queueing: each prompt
// gets a tag, the sum of the tokens of its account's prompts before it, and the lowest tag goes
// first. An account that had no prompts for a while joins at the current tag, so that it has
// no claim to turns that it did not use. The zero value is ready.
type turns struct {
	accounts map[string]float64 // tag of the next prompt of each account that is ahead of now
	aged     float64            // the same of the prompts of the next less urgent priority
	now      float64            // highest tag that was served
}

const (
	// agedCost is how many times its tokens an entry costs in the priority above its own. All
	// such entries together take turns with the accounts there as if they were one account:
	// with one account there, they get a fifth of the tokens. If each took the turns of its own
	// account, a backlog of less urgent requests, of which half are past half of their limit,
	// would take half of the tokens from the more urgent ones.
	agedCost = 4
	// maxAccounts limits the accounts whose tags are kept.
	maxAccounts = 1024
)

// tag returns the tag of the next prompt of an account.
func (t *turns) tag(account string) float64 { return max(t.now, t.accounts[account]) }

// serve records that a prompt of an account with a tag was served.
func (t *turns) serve(account string, tag, tokens float64) {
	t.now = max(t.now, tag)
	if t.accounts == nil {
		t.accounts = make(map[string]float64)
	}
	if _, known := t.accounts[account]; !known && len(t.accounts) >= maxAccounts {
		t.forget()
	}
	t.accounts[account] = tag + tokens
}

// serveAged records that an entry of the next less urgent priority was served.
func (t *turns) serveAged(tag, tokens float64) {
	t.now = max(t.now, tag)
	t.aged = tag + agedCost*tokens
}

// forget drops the accounts that are not ahead, or all if each is.
func (t *turns) forget() {
	for account, tag := range t.accounts {
		if tag <= t.now {
			delete(t.accounts, account)
		}
	}
	if len(t.accounts) >= maxAccounts {
		clear(t.accounts)
	}
}
