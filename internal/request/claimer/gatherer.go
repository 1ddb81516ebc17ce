package claimer

import (
	"context"
	"errors"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
)

// A gatherer commits many small transactions as few large ones.
//
// A group is carried out whole or not at all. The one that fails a check is
// told so and the rest goes on without it.
type gatherer struct {
	table tabler.Table
	every time.Duration // between groups
	most  int           // transactions in a group

	queue chan *pending
}

// A pending transaction waits for its group.
type pending struct {
	txn  tabler.Txn
	done chan error
}

// commit hands a transaction in and returns its own outcome.
func (g *gatherer) commit(ctx context.Context, txn tabler.Txn) error {
	p := &pending{txn: txn, done: make(chan error, 1)}
	select {
	case g.queue <- p:
	case <-ctx.Done():
		return &tabler.UnavailableError{Err: ctx.Err()}
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return &tabler.UnknownError{Err: ctx.Err()}
	}
}

// run commits groups until ctx ends. A group that comes after a pause goes at
// once; under load what arrives between two groups goes together.
func (g *gatherer) run(ctx context.Context) {
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-g.queue:
			group := g.collect(ctx, first, time.Until(last.Add(g.every)))
			last = time.Now()
			go g.settle(ctx, group)
		}
	}
}

// collect gathers what arrives within the wait, and what is there already.
func (g *gatherer) collect(ctx context.Context, first *pending, wait time.Duration) []*pending {
	group := []*pending{first}
	timer := time.NewTimer(max(0, wait))
	defer timer.Stop()
	for len(group) < g.most {
		select {
		case p := <-g.queue:
			group = append(group, p)
		case <-timer.C:
			return g.waiting(group)
		case <-ctx.Done():
			return group
		}
	}
	return group
}

// waiting adds what is in the queue already.
func (g *gatherer) waiting(group []*pending) []*pending {
	for len(group) < g.most {
		select {
		case p := <-g.queue:
			group = append(group, p)
		default:
			return group
		}
	}
	return group
}

// settle commits a group, without those that conflict.
func (g *gatherer) settle(ctx context.Context, group []*pending) {
	for len(group) > 0 {
		now, later := distinct(group)
		group = append(g.attempt(ctx, now), later...)
	}
}

// attempt commits transactions on distinct rows. It returns those that must be
// tried again because another one of them failed a check.
func (g *gatherer) attempt(ctx context.Context, group []*pending) []*pending {
	err := g.table.Commit(ctx, merge(group))
	var conflict *tabler.ConflictError
	if errors.As(err, &conflict) {
		if rest := without(group, conflict); len(rest) < len(group) {
			return rest
		}
	}
	for _, p := range group {
		p.done <- err
	}
	return nil
}

// distinct splits off the transactions that write a row which an earlier one in
// the group writes. Joined into one transaction, two claims on one key would
// both see their check hold, and the request would run twice.
func distinct(group []*pending) (now, later []*pending) {
	seen := make(map[string]bool)
	for _, p := range group {
		clash := false
		for _, put := range p.txn.Puts {
			clash = clash || seen[put.Key]
			seen[put.Key] = true
		}
		if clash {
			later = append(later, p)
			continue
		}
		now = append(now, p)
	}
	return now, later
}

// merge joins transactions into one.
func merge(group []*pending) tabler.Txn {
	var txn tabler.Txn
	for _, p := range group {
		txn.Checks = append(txn.Checks, p.txn.Checks...)
		txn.Puts = append(txn.Puts, p.txn.Puts...)
		txn.Deletes = append(txn.Deletes, p.txn.Deletes...)
	}
	return txn
}

// without tells those that check the conflicting row and returns the others.
func without(group []*pending, conflict *tabler.ConflictError) []*pending {
	var rest []*pending
	for _, p := range group {
		if checks(p.txn, conflict.Key) {
			p.done <- conflict
			continue
		}
		rest = append(rest, p)
	}
	return rest
}

func checks(txn tabler.Txn, key string) bool {
	for _, c := range txn.Checks {
		if c.Key == key {
			return true
		}
	}
	return false
}
