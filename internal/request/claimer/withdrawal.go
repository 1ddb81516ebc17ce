package claimer

import (
	"context"
	"maps"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// A withdrawal is a claim that is to be withdrawn.
type withdrawal struct {
	token       string
	scheduledAt time.Time
}

// scheduleWithdrawal records a claim to withdraw.
func (c *Claimer) scheduleWithdrawal(t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawals[t.row] = withdrawal{token: t.claim.Token, scheduledAt: time.Now()}
}

// PendingWithdrawals returns the number of claims that wait to be withdrawn.
func (c *Claimer) PendingWithdrawals() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.withdrawals)
}

// confirm reads back whether the claim was written. If the store does not respond,
// the request is refused as not run, because it is not dispatched, and the claim
// is withdrawn later if it was written.
func (c *Claimer) confirm(ctx context.Context, t *Ticket) error {
	claim, version, err := c.read(context.WithoutCancel(ctx), t.row)
	switch {
	case err != nil:
		c.scheduleWithdrawal(t)
		return judge.Refuse(judge.ReasonClaim, "the answer to the claim was lost: %v", err).WithRetryAfter(time.Second)
	case version != 0 && claim.Token == t.claim.Token:
		return nil
	case version != 0:
		return &tabler.ConflictError{Key: t.row}
	default:
		// The write may still take effect; the token distinguishes it from a later claim.
		c.scheduleWithdrawal(t)
		return judge.Refuse(judge.ReasonClaim, "the claim was not written").WithRetryAfter(time.Second)
	}
}

// cleanUp retries ended claims, withdraws claims, and deletes own claims that have expired.
func (c *Claimer) cleanUp(ctx context.Context, now time.Time) {
	c.mu.Lock()
	withdrawals := maps.Clone(c.withdrawals)
	unwrittenEnds := maps.Clone(c.unwrittenEnds)
	var expired []string
	for row, until := range c.expiring {
		if now.After(until) {
			expired = append(expired, row)
			delete(c.expiring, row)
			delete(c.active, c.unwrittenEnds[row].Token)
			delete(c.unwrittenEnds, row)
		}
	}
	c.mu.Unlock()
	for row, claim := range unwrittenEnds {
		c.retryEnd(ctx, row, claim)
	}
	for row, w := range withdrawals {
		if c.withdraw(ctx, row, w) {
			c.mu.Lock()
			delete(c.withdrawals, row)
			c.mu.Unlock()
		}
	}
	if len(expired) > 0 {
		_ = c.Table.Commit(ctx, tabler.Txn{Deletes: expired}) // a remaining row is replaced on next use
	}
}

// withdraw deletes a claim unless another one has replaced it. It reports whether
// the withdrawal is complete: a missing row may still appear if its write is
// late.
func (c *Claimer) withdraw(ctx context.Context, row string, w withdrawal) bool {
	claim, version, err := c.read(ctx, row)
	if err != nil {
		return false
	}
	if version == 0 {
		return time.Since(w.scheduledAt) > lateWriteTimeout
	}
	if claim.Token != w.token {
		return true
	}
	err = c.Table.Commit(ctx, tabler.Txn{Checks: []tabler.Check{{Key: row, Version: version}}, Deletes: []string{row}})
	return err == nil
}

// retryEnd writes an ended claim whose first write failed. Until then a second
// request with the key waits, whichever instance receives it.
func (c *Claimer) retryEnd(ctx context.Context, row string, claim Claim) {
	if c.put(ctx, row, claim, nil) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.unwrittenEnds, row)
	delete(c.active, claim.Token)
}
