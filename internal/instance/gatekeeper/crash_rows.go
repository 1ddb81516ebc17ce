package gatekeeper

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
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

// crashRowInterval is how often an instance checks whether rows have to be written, and how much
// longer each further leader waits for the others to write one.
const crashRowInterval = time.Second

// A crashRow is the state of a row as this instance knows and wants it.
type crashRow struct {
	state rowState
	// era is the era of the store in which the row was last read or written. The store may have
	// returned from a copy without it, so it is known to be stored in that era only.
	era uint64
	// since is when this instance found a change to be due that any instance can write, and that
	// the leaders write first; zero if this instance has caused the change and writes it at once.
	since time.Time
}

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
	if q.rows == nil {
		q.rows = make(map[quarantiner.Crash]crashRow)
	}
	before, known := q.rows[c]
	switch {
	case known && before.state == state, known && before.state == rowWritten && state == rowPut, !known && state == rowDeleted:
		return
	}
	q.rows[c] = crashRow{state: state}
}

// recordStored records whether a row exists in the store, in an era.
func (q *quarantine) recordStored(c quarantiner.Crash, exists bool, era uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.rows == nil {
		q.rows = make(map[quarantiner.Crash]crashRow)
	}
	switch row, known := q.rows[c]; {
	case !exists:
		delete(q.rows, c)
	case known && row.state == rowDeleted:
		row.era = max(row.era, era)
		q.rows[c] = row
	default:
		q.rows[c] = crashRow{state: rowWritten, era: max(row.era, era)}
	}
}

// markObsolete marks a stored row for deletion by the instances that are responsible for it.
func (q *quarantine) markObsolete(c quarantiner.Crash, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if row, known := q.rows[c]; known && row.state != rowDeleted {
		q.rows[c] = crashRow{state: rowDeleted, era: row.era, since: now}
	}
}

// markLost marks the rows that the store had in an earlier era only to be written again. The whole
// table has been read in the current one. Rows that are not wanted any more are forgotten.
func (q *quarantine) markLost(era uint64, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for c, row := range q.rows {
		own := row.state == rowDeleted && row.since.IsZero() // it may not have been read yet
		if row.state == rowPut || own || row.era >= era {
			continue
		}
		if row.state == rowDeleted {
			delete(q.rows, c)
			continue
		}
		q.rows[c] = crashRow{state: rowPut, since: now}
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
	repeater.Every(ctx, crashRowInterval, g.quarantine.wakeWriter, func() {
		for ctx.Err() == nil && !g.skipStoreCall() {
			txn, states := g.pendingCrashRows(time.Now())
			if len(states) == 0 {
				break
			}
			sent := time.Now()
			version, err := g.Store.Write(ctx, txn)
			g.recordStoreCall(sent, err)
			if err == nil {
				g.quarantine.recordWritten(states, tabler.Era(version))
			} else {
				g.Recorder.Log(recorder.Suspect, "msg", "crashes not written", "rows", len(states), "err", err)
			}
			pause(ctx, retryDelay(err, failed))
		}
	})
}

// pendingCrashRows returns a transaction with the row changes that are due at this instance, and the
// states that it brings these rows into.
func (g *Gatekeeper) pendingCrashRows(now time.Time) (tabler.Txn, map[quarantiner.Crash]rowState) {
	g.quarantine.markLost(tabler.Era(g.leaders.upTo()), now)
	return g.quarantine.pendingWrites(g.crashRowPatience(), now)
}

// crashRowPatience returns how long this instance waits for others to write a change that any
// instance can write. The leaders write in the order of their domains. The other instances write
// only if no leader does, spread over a time that grows with their number: hundreds of them
// would otherwise write the same rows at once when the store returns from a copy.
func (g *Gatekeeper) crashRowPatience() time.Duration {
	if rank := g.leaderRank(); rank >= 0 {
		return time.Duration(rank) * crashRowInterval
	}
	spread := max(pollInterval, time.Duration(g.headcount.reported())*pollInterval/pollsPerInterval)
	share := time.Duration(xxhash.Sum64String(g.Config.ID) % uint64(spread))
	return time.Duration(len(g.domains()))*crashRowInterval + share
}

// pendingWrites returns a transaction that brings rows into their desired states, and these
// states. Changes that any instance can write are due after patience.
func (q *quarantine) pendingWrites(patience time.Duration, now time.Time) (tabler.Txn, map[quarantiner.Crash]rowState) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var txn tabler.Txn
	states := make(map[quarantiner.Crash]rowState)
	for c, row := range q.rows {
		waiting := !row.since.IsZero() && now.Sub(row.since) < patience
		if row.state == rowWritten || waiting || len(states) == maxRowsPerWrite {
			continue
		}
		key := crashKey(c)
		if row.state == rowDeleted {
			states[c] = rowDeleted
			txn.Deletes = append(txn.Deletes, key)
			continue
		}
		report, known := q.ledger.Report(c, now)
		if !known || report.Cleared {
			delete(q.rows, c) // it does not count any more; if the row exists, it is deleted once it is read
			continue
		}
		states[c] = rowPut
		txn.Puts = append(txn.Puts, tabler.Put{Key: key, Value: encodeCrashRow(report.Row(now))})
	}
	return txn, states
}

// recordWritten records that rows are in the states that were sent to the store, in an era.
func (q *quarantine) recordWritten(states map[quarantiner.Crash]rowState, era uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for c, state := range states {
		switch {
		case q.rows[c].state != state: // changed again since it was sent
		case state == rowDeleted:
			delete(q.rows, c)
		default:
			q.rows[c] = crashRow{state: rowWritten, era: era}
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
	g.quarantine.recordStored(c, !r.Deleted, tabler.Era(r.Version))
	current, known := g.quarantine.ledger.Report(c, time.Now())
	if !r.Deleted && (known && current.Cleared || report.Age >= quarantiner.Retention) {
		// It was cleared before the row was written or returned with a copy of the store, or has
		// expired. If the row stayed, the request would be suspected again after a restart of all
		// instances, or the row would never be deleted.
		g.quarantine.markObsolete(c, time.Now())
		signal(g.quarantine.wakeWriter)
	}
}
