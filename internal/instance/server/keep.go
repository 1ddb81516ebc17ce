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

// fromTable is the logged source of crash reports that were read from rows.
const fromTable = "table"

func (s *Server) crashKey(c quarantiner.Crash) string {
	return DomainPrefix(s.Config.Domain) + crashInfix + string(c.Digest) + "/" + c.Runner
}

// takeKept applies crash rows. Rows past the retention period are marked for deletion.
func (s *Server) takeKept(rows []tabler.Row, now time.Time) {
	var words []quarantiner.Word
	for _, row := range rows {
		_, rest, ok := strings.Cut(row.Key, crashInfix)
		if !ok {
			continue
		}
		digest, engine, _ := strings.Cut(rest, "/")
		var kept quarantiner.Row
		if err := encoder.Unmarshal(row.Value, &kept); err != nil {
			s.warnIf("crash row", err)
			continue
		}
		w := kept.Word(quarantiner.Crash{Digest: quarantiner.Digest(digest), Runner: engine}, now)
		s.quarantine.noteKept(w.Crash(), true)
		if w.Age >= quarantiner.Memory {
			s.quarantine.want(w.Crash(), true)
		}
		words = append(words, w)
	}
	s.takeWords(words, fromTable)
}

// keepWords queues rows for new crash reports. A crash is stored once its request
// has reached KeptFrom crashes; a cleared one only if it is stored or queued already.
func (s *Server) keepWords(news []quarantiner.Word) {
	now := time.Now()
	for _, w := range news {
		if w.Cleared {
			if s.quarantine.keeps(w.Crash()) {
				s.quarantine.want(w.Crash(), false)
			}
			continue
		}
		open := s.quarantine.ledger.Open(w.Digest, now)
		if len(open) < quarantiner.KeptFrom {
			continue
		}
		for _, o := range open {
			s.quarantine.want(o.Crash(), false)
		}
		s.pollSoon()
	}
}

// want queues a row to be written, or deleted if drop is true.
func (q *quarantine) want(c quarantiner.Crash, drop bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.rows == nil {
		q.rows = make(map[quarantiner.Crash]bool)
	}
	q.rows[c] = drop
}

// writeCrashes writes the queued rows. A failed write is retried at the next poll of the
// table; writing a row twice is idempotent.
func (s *Server) writeCrashes(ctx context.Context) {
	txn, rows := s.unwritten(time.Now())
	if len(rows) == 0 {
		return
	}
	if err := s.Table.Commit(ctx, txn); err != nil {
		s.count("sardinetiller_platform_failures_total", "crash")
		_ = level.Warn(s.Logger).Log("msg", "crashes not written", "rows", len(rows), "err", err)
		return
	}
	s.quarantine.written(rows)
}

// unwritten returns the transaction for the queued rows, and these rows.
func (s *Server) unwritten(now time.Time) (tabler.Txn, map[quarantiner.Crash]bool) {
	q := &s.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	var txn tabler.Txn
	rows := make(map[quarantiner.Crash]bool)
	for c, drop := range q.rows {
		rows[c] = drop
		w, ok := q.ledger.Word(c, now)
		if drop || !ok {
			txn.Deletes = append(txn.Deletes, s.crashKey(c))
			continue
		}
		value, err := encoder.Marshal(w.Row(now))
		if err != nil {
			panic(err) // crash rows always encode
		}
		txn.Puts = append(txn.Puts, tabler.Put{Key: s.crashKey(c), Value: value})
	}
	return txn, rows
}

// written removes written rows from the queue, unless they were queued differently meanwhile.
func (q *quarantine) written(rows map[quarantiner.Crash]bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for c, drop := range rows {
		if now, ok := q.rows[c]; ok && now == drop {
			delete(q.rows, c)
		}
		q.setKept(c, !drop)
	}
}

// keeps reports whether the table holds a crash, or a change of its row is queued.
func (q *quarantine) keeps(c quarantiner.Crash) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	_, wanted := q.rows[c]
	return wanted || q.kept[c]
}

// noteKept records whether the table holds a crash.
func (q *quarantine) noteKept(c quarantiner.Crash, kept bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.setKept(c, kept)
}

func (q *quarantine) setKept(c quarantiner.Crash, kept bool) {
	if q.kept == nil {
		q.kept = make(map[quarantiner.Crash]bool)
	}
	if kept {
		q.kept[c] = true
	} else {
		delete(q.kept, c)
	}
}
