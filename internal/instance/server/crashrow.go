package server

import (
	"context"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// crashInfix is followed in the key of a crash row by the digest, a slash and the
// engine. Crash rows have the prefix of the failure domain, so that the scan that
// reads the leases returns them too.
const crashInfix = "/crash/"

// sourceTable is the logged source of crash reports that were read from rows.
const sourceTable = "table"

func (s *Server) crashKey(c quarantiner.Crash) string {
	return DomainPrefix(s.Config.Domain) + crashInfix + string(c.Digest) + "/" + c.Runner
}

// applyCrashRows applies crash rows. Rows past the retention period are marked for deletion.
func (s *Server) applyCrashRows(rows []tabler.Row, now time.Time) {
	var reports []quarantiner.CrashReport
	for _, row := range rows {
		_, rest, ok := strings.Cut(row.Key, crashInfix)
		if !ok {
			continue
		}
		digest, engine, _ := strings.Cut(rest, "/")
		var storedRow quarantiner.Row
		if err := encoder.Unmarshal(row.Value, &storedRow); err != nil {
			s.warnUndecodable("crash row", err)
			continue
		}
		report := storedRow.Report(quarantiner.Crash{Digest: quarantiner.Digest(digest), Runner: engine}, now)
		s.quarantine.recordStored(report.Crash(), true)
		if report.Age >= quarantiner.Retention {
			s.quarantine.queueRow(report.Crash(), true)
		}
		reports = append(reports, report)
	}
	s.applyCrashReports(reports, sourceTable)
}

// storeCrashReports queues rows for new crash reports. A crash is stored once its request
// has reached MinPersistedCrashes; a cleared one only if it is stored or queued already.
func (s *Server) storeCrashReports(reports []quarantiner.CrashReport) {
	now := time.Now()
	for _, r := range reports {
		if r.Cleared {
			if s.quarantine.isStoredOrQueued(r.Crash()) {
				s.quarantine.queueRow(r.Crash(), false)
			}
			continue
		}
		crashes := s.quarantine.ledger.Uncleared(r.Digest, now)
		if len(crashes) < quarantiner.MinPersistedCrashes {
			continue
		}
		for _, crash := range crashes {
			s.quarantine.queueRow(crash.Crash(), false)
		}
		s.pollSoon()
	}
}

// queueRow queues a row to be written, or deleted if drop is true.
func (q *quarantine) queueRow(c quarantiner.Crash, drop bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queuedRows == nil {
		q.queuedRows = make(map[quarantiner.Crash]bool)
	}
	q.queuedRows[c] = drop
}

// writeCrashes writes the queued rows. A failed write is retried at the next poll of the
// table; writing a row twice is idempotent.
func (s *Server) writeCrashes(ctx context.Context) {
	txn, rows := s.queuedTxn(time.Now())
	if len(rows) == 0 {
		return
	}
	if err := s.Table.Commit(ctx, txn); err != nil {
		s.countReason("sardinetiller_platform_failures_total", "crash")
		_ = level.Warn(s.Logger).Log("msg", "crashes not written", "rows", len(rows), "err", err)
		return
	}
	s.quarantine.dequeueRows(rows)
}

// queuedTxn returns the transaction for the queued rows, and these rows.
func (s *Server) queuedTxn(now time.Time) (tabler.Txn, map[quarantiner.Crash]bool) {
	q := &s.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	var txn tabler.Txn
	rows := make(map[quarantiner.Crash]bool)
	for c, drop := range q.queuedRows {
		rows[c] = drop
		report, ok := q.ledger.Report(c, now)
		if drop || !ok {
			txn.Deletes = append(txn.Deletes, s.crashKey(c))
			continue
		}
		value, err := encoder.Marshal(report.Row(now))
		if err != nil {
			panic(err) // crash rows always encode
		}
		txn.Puts = append(txn.Puts, tabler.Put{Key: s.crashKey(c), Value: value})
	}
	return txn, rows
}

// dequeueRows removes written rows from the queue, unless they were queued differently meanwhile.
func (q *quarantine) dequeueRows(rows map[quarantiner.Crash]bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for c, drop := range rows {
		if queued, ok := q.queuedRows[c]; ok && queued == drop {
			delete(q.queuedRows, c)
		}
		q.setStored(c, !drop)
	}
}

// isStoredOrQueued reports whether the table holds a crash, or a change of its row is queued.
func (q *quarantine) isStoredOrQueued(c quarantiner.Crash) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, queued := q.queuedRows[c]
	return queued || q.stored[c]
}

// recordStored records whether the table holds a crash.
func (q *quarantine) recordStored(c quarantiner.Crash, stored bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.setStored(c, stored)
}

func (q *quarantine) setStored(c quarantiner.Crash, stored bool) {
	if q.stored == nil {
		q.stored = make(map[quarantiner.Crash]bool)
	}
	if stored {
		q.stored[c] = true
	} else {
		delete(q.stored, c)
	}
}
