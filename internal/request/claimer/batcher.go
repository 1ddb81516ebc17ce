package claimer

import (
	"context"
	"errors"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/pacer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
)

// A batcher commits many small transactions as few large ones.
//
// A batch is atomic. If a transaction in it fails a check, that transaction gets
// a conflict error and the rest is committed without it.
type batcher struct {
	table    tabler.Table
	interval time.Duration // minimum time between batches
	maxSize  int           // transactions in a batch

	queue chan *pending
}

// A pending transaction waits for its batch.
type pending struct {
	txn  tabler.Txn
	done chan error
}

// commit queues a transaction and returns its result.
func (b *batcher) commit(ctx context.Context, txn tabler.Txn) error {
	p := &pending{txn: txn, done: make(chan error, 1)}
	select {
	case b.queue <- p:
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

// run commits batches until ctx ends. After an idle interval, a transaction is committed
// at once; under load, those that arrive between two batches are committed
// together.
func (b *batcher) run(ctx context.Context) {
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-b.queue:
			batch := b.collect(ctx, first, time.Until(last.Add(b.interval)))
			last = time.Now()
			go b.commitBatch(ctx, batch)
		}
	}
}

// collect adds transactions that arrive within the wait or are already queued.
func (b *batcher) collect(ctx context.Context, first *pending, wait time.Duration) []*pending {
	batch := []*pending{first}
	end, stop := pacer.After(wait)
	defer stop()
	for len(batch) < b.maxSize {
		select {
		case p := <-b.queue:
			batch = append(batch, p)
		case <-end:
			return b.addQueued(batch)
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// addQueued adds transactions that are already queued.
func (b *batcher) addQueued(batch []*pending) []*pending {
	for len(batch) < b.maxSize {
		select {
		case p := <-b.queue:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// commitBatch commits a batch without the transactions that conflict.
func (b *batcher) commitBatch(ctx context.Context, batch []*pending) {
	for len(batch) > 0 {
		now, later := splitDistinct(batch)
		batch = append(b.tryCommit(ctx, now), later...)
	}
}

// tryCommit commits transactions on distinct rows. It returns those to retry because
// another one failed a check.
func (b *batcher) tryCommit(ctx context.Context, batch []*pending) []*pending {
	err := b.table.Commit(ctx, merge(batch))
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

// splitDistinct splits off transactions that write a row which an earlier one in the
// batch writes. In one transaction, the checks of two claims on one key would
// both pass, and the request would run twice.
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

// failConflicting fails the transactions that check the conflicting row and returns the others.
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
