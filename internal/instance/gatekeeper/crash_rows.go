package gatekeeper

import (
	"context"
	"strings"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// Crash records are stored in the table of the leaders, which all instances watch already, so
// that they cost no store calls while there are none.

// crashKeyPrefix starts the keys of crash records; the digest, a slash and the runner follow. No
// failure domain has such a name.
const crashKeyPrefix = "crash/"

// fromStore is the source of crash reports and removals that were read from the store.
const fromStore = "store"

// maxRowsPerWrite is how many rows are written in one transaction; the store's limit is 100.
const maxRowsPerWrite = 100

// A rowState is the desired state of a row.
type rowState int

const (
	rowWritten rowState = iota // in the desired state
	rowPut
	rowDeleted
)

func encodeCrashRow(r quarantiner.Row) []byte {
	value, err := encoder.Marshal(r)
	if err != nil {
		panic(err) // integers can always be encoded
	}
	return value
}

// storeCrashes marks for storage the crashes of requests with at least
// quarantiner.MinPersistedCrashes of them, and for deletion those that are cleared. While some
// leaders send no updates, the first crash is stored too: the second may be observed by an
// instance that cannot be reached from here.
func (g *Gatekeeper) storeCrashes(reports []quarantiner.CrashReport) {
	if len(reports) == 0 {
		return
	}
	now := time.Now()
	q := &g.quarantine
	partitioned := !g.receivesFromAllLeaders()
	for _, r := range reports {
		if r.Cleared {
			q.setDesired(r.Crash(), rowDeleted)
			continue
		}
		open := q.ledger.Uncleared(r.Digest, now)
		if len(open) < quarantiner.MinPersistedCrashes && !partitioned {
			continue
		}
		for _, o := range open {
			q.setDesired(o.Crash(), rowPut)
		}
	}
	signal(q.wakeWriter)
}

// storeOwnCrashes marks for storage the crashes that this instance observed itself, while some
// leaders send no updates: its source may have been unable to relay them.
func (g *Gatekeeper) storeOwnCrashes() {
	if g.receivesFromAllLeaders() {
		return
	}
	g.storeCrashes(g.quarantine.ownReportsWhere(time.Now(), func(ownReport) bool { return true }))
}

// receivesFromAllLeaders reports whether there are recent updates from the leaders of all failure
// domains.
func (g *Gatekeeper) receivesFromAllLeaders() bool {
	for domain, l := range g.links {
		if l.sinceUpdate() > updateTimeout && !g.controllers[domain].leads() {
			return false
		}
	}
	return true
}

// setDesired sets the desired state of a row. A row that was never written need not be deleted.
func (q *quarantine) setDesired(c quarantiner.Crash, state rowState) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.rowStates == nil {
		q.rowStates = make(map[quarantiner.Crash]rowState)
	}
	before, known := q.rowStates[c]
	switch {
	case known && before == state, known && before == rowWritten && state == rowPut, !known && state == rowDeleted:
		return
	}
	q.rowStates[c] = state
}

// recordStored records whether a row exists in the store.
func (q *quarantine) recordStored(c quarantiner.Crash, exists bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.rowStates == nil {
		q.rowStates = make(map[quarantiner.Crash]rowState)
	}
	switch state, known := q.rowStates[c]; {
	case !exists:
		delete(q.rowStates, c)
	case !known || state == rowPut:
		q.rowStates[c] = rowWritten
	}
}

// deleteCrashRows marks the rows of expired crashes for deletion.
func (g *Gatekeeper) deleteCrashRows(old []quarantiner.Crash) {
	for _, c := range old {
		g.quarantine.setDesired(c, rowDeleted)
	}
	if len(old) > 0 {
		signal(g.quarantine.wakeWriter)
	}
}

// writeCrashRows writes crash rows to the store until ctx ends.
func (g *Gatekeeper) writeCrashRows(ctx context.Context) {
	failed := newBackOff()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.quarantine.wakeWriter:
		}
		for ctx.Err() == nil && !g.skipStoreCall() {
			txn, states := g.quarantine.pendingWrites(time.Now())
			if len(states) == 0 {
				break
			}
			sent := time.Now()
			_, err := g.Store.Write(ctx, txn)
			g.recordStoreCall(sent, err)
			if err == nil {
				g.quarantine.recordWritten(states)
			} else {
				g.Recorder.Log(recorder.Suspect, "msg", "crashes not written", "rows", len(states), "err", err)
			}
			pause(ctx, retryDelay(err, failed))
		}
	}
}

// pendingWrites returns a transaction that brings rows into their desired states, and these
// states.
func (q *quarantine) pendingWrites(now time.Time) (tabler.Txn, map[quarantiner.Crash]rowState) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var txn tabler.Txn
	states := make(map[quarantiner.Crash]rowState)
	for c, state := range q.rowStates {
		if state == rowWritten || len(states) == maxRowsPerWrite {
			continue
		}
		states[c] = state
		key := crashKey(c)
		if state == rowDeleted {
			txn.Deletes = append(txn.Deletes, key)
			continue
		}
		report, _ := q.ledger.Report(c, now)
		txn.Puts = append(txn.Puts, tabler.Put{Key: key, Value: encodeCrashRow(report.Row(now))})
	}
	return txn, states
}

// recordWritten records that rows are in the states that were sent to the store.
func (q *quarantine) recordWritten(states map[quarantiner.Crash]rowState) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for c, state := range states {
		switch {
		case q.rowStates[c] != state: // changed again since it was sent
		case state == rowDeleted:
			delete(q.rowStates, c)
		default:
			q.rowStates[c] = rowWritten
		}
	}
}

func crashKey(c quarantiner.Crash) string {
	return tableLeaders + "/" + crashKeyPrefix + string(c.Digest) + "/" + c.Runner
}

// parseCrashKey parses the key of a crash row; ok is false if it is another row.
func parseCrashKey(key string) (c quarantiner.Crash, ok bool) {
	rest, ok := strings.CutPrefix(key, tableLeaders+"/"+crashKeyPrefix)
	if !ok {
		return c, false
	}
	digest, runner, ok := strings.Cut(rest, "/")
	return quarantiner.Crash{Digest: quarantiner.Digest(digest), Runner: runner}, ok
}

// applyCrashRow applies a crash row. A deleted row means that the crash was cleared or has expired.
func (g *Gatekeeper) applyCrashRow(c quarantiner.Crash, r tabler.Row) {
	report := quarantiner.CrashReport{Digest: c.Digest, Runner: c.Runner, Cleared: r.Deleted}
	if !r.Deleted {
		var row quarantiner.Row
		if err := encoder.Unmarshal(r.Value, &row); err != nil {
			g.Recorder.Log(recorder.Suspect, "msg", "malformed crash row", "row", r.Key, "err", err)
			return
		}
		report = row.Report(c, time.Now())
	}
	g.applyCrashReports([]quarantiner.CrashReport{report}, fromStore)
	g.quarantine.recordStored(c, !r.Deleted)
	current, known := g.quarantine.ledger.Report(c, time.Now())
	if !r.Deleted && (known && current.Cleared || report.Age >= quarantiner.Retention) && g.leadsAny() {
		// It was cleared before the row was written, or has expired. If the row stayed, the
		// request would be suspected again after a restart of all instances, or the row would
		// never be deleted.
		g.quarantine.setDesired(c, rowDeleted)
		signal(g.quarantine.wakeWriter)
	}
}
