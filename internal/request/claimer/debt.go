package claimer

import (
	"context"
	"maps"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// A debt is a claim to withdraw.
type debt struct {
	token string
	since time.Time
}

// owe notes a claim to withdraw.
func (c *Claimer) owe(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owed[t.row] = debt{token: t.claim.Token, since: time.Now()}
}

// Owed returns how many claims wait to be withdrawn.
func (c *Claimer) Owed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.owed)
}

// settle reads back whether the own claim was written. If the store does not
// answer, the caller is promised that the request did not run, because it is
// not dispatched; the claim is withdrawn later if it was written.
func (c *Claimer) settle(ctx context.Context, t *Ticket) error {
	claim, version, err := c.read(context.WithoutCancel(ctx), t.row)
	switch {
	case err != nil:
		c.owe(t)
		return judge.Refuse(judge.ReasonClaim, "the answer to the claim was lost: %v", err).After(time.Second)
	case version != 0 && claim.Token == t.claim.Token:
		return nil
	case version != 0:
		return &tabler.ConflictError{Key: t.row}
	default:
		// The write may still be under way; its token tells it from a later one.
		c.owe(t)
		return judge.Refuse(judge.ReasonClaim, "the claim was not written").After(time.Second)
	}
}

// tidy withdraws what is owed and deletes the own claims that have expired.
func (c *Claimer) tidy(ctx context.Context, now time.Time) {
	c.mu.Lock()
	owed := maps.Clone(c.owed)
	ends := maps.Clone(c.ends)
	var expired []string
	for row, until := range c.expiring {
		if now.After(until) {
			expired = append(expired, row)
			delete(c.expiring, row)
			delete(c.active, c.ends[row].Token)
			delete(c.ends, row)
		}
	}
	c.mu.Unlock()
	for row, claim := range ends {
		c.endAgain(ctx, row, claim)
	}
	for row, d := range owed {
		if c.withdraw(ctx, row, d) {
			c.mu.Lock()
			delete(c.owed, row)
			c.mu.Unlock()
		}
	}
	if len(expired) > 0 {
		_ = c.Table.Commit(ctx, tabler.Txn{Deletes: expired}) // a row that stays is replaced when its key is used again
	}
}

// withdraw deletes a claim if it is still the one that is owed. It returns
// whether that is settled: a row that is not there may yet appear if its write
// is only late.
func (c *Claimer) withdraw(ctx context.Context, row string, d debt) bool {
	claim, version, err := c.read(ctx, row)
	if err != nil {
		return false
	}
	if version == 0 {
		return time.Since(d.since) > lateWrite
	}
	if claim.Token != d.token {
		return true
	}
	err = c.Table.Commit(ctx, tabler.Txn{Checks: []tabler.Check{{Key: row, Version: version}}, Deletes: []string{row}})
	return err == nil
}

// endAgain writes an ended claim whose first write failed. Until then a second
// request through this instance waits, and through another one too.
func (c *Claimer) endAgain(ctx context.Context, row string, claim Claim) {
	if c.put(ctx, row, claim, nil) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ends, row)
	delete(c.active, claim.Token)
}
