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
type batcher struct {
	table    tabler.Table
	interval time.Duration // between groups
	maxSize  int           // transactions in a group

	queue chan *pending
}

// A pending transaction waits for its group.
type pending struct {
	txn  tabler.Txn
	done chan error
}

// commit hands a transaction in and returns its own outcome.
func (g *batcher) commit(ctx context.Context, txn tabler.Txn) error {
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
func (g *batcher) run(ctx context.Context) {
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-g.queue:
			batch := g.collect(ctx, first, time.Until(last.Add(g.interval)))
			last = time.Now()
			go g.commitBatch(ctx, batch)
		}
	}
}

// collect gathers what arrives within the wait, and what is there already.
func (g *batcher) collect(ctx context.Context, first *pending, wait time.Duration) []*pending {
	batch := []*pending{first}
	timer := time.NewTimer(max(0, wait))
	defer timer.Stop()
	for len(batch) < g.maxSize {
		select {
		case p := <-g.queue:
			batch = append(batch, p)
		case <-timer.C:
			return g.addQueued(batch)
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// addQueued adds what is in the queue already.
func (g *batcher) addQueued(batch []*pending) []*pending {
	for len(batch) < g.maxSize {
		select {
		case p := <-g.queue:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// commitBatch commits a group, without those that conflict.
func (g *batcher) commitBatch(ctx context.Context, batch []*pending) {
	for len(batch) > 0 {
		now, later := splitDistinct(batch)
		batch = append(g.tryCommit(ctx, now), later...)
	}
}

// tryCommit commits transactions on distinct rows. It returns those that must be
// tried again because another one of them failed a check.
func (g *batcher) tryCommit(ctx context.Context, batch []*pending) []*pending {
	err := g.table.Commit(ctx, merge(batch))
	var conflict *tabler.ConflictError
	if errors.As(err, &conflict) {
		if rest := failConflicting(batch, conflict); len(rest) < len(batch) {
			return rest
		}
	}
	for _, p := range batch {
		p.done <- err
	}
	return nil
}

// splitDistinct splits off the transactions that write a row which an earlier one in
// the group writes. Joined into one transaction, two claims on one key would
// both see their check hold, and the request would run twice.
func splitDistinct(batch []*pending) (now, later []*pending) {
	seen := make(map[string]bool)
	for _, p := range batch {
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
func merge(batch []*pending) tabler.Txn {
	var txn tabler.Txn
	for _, p := range batch {
		txn.Checks = append(txn.Checks, p.txn.Checks...)
		txn.Puts = append(txn.Puts, p.txn.Puts...)
		txn.Deletes = append(txn.Deletes, p.txn.Deletes...)
	}
	return txn
}

// failConflicting tells those that check the conflicting row and returns the others.
func failConflicting(batch []*pending, conflict *tabler.ConflictError) []*pending {
	var rest []*pending
	for _, p := range batch {
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
