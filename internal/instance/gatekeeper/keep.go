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

// Crashes are kept in the table of the holders of tenures, which all instances follow
// already: on a day without them they cost no call.

// prefixCrash begins the keys of crashes. They go on with the digest, a slash and the
// runner; no failure domain is named like that.
const prefixCrash = "crash/"

// fromStore is where words of the store's rows come from.
const fromStore = "store"

// writeMost is how many rows one call to the store writes; it takes 100.
const writeMost = 100

// A rowState is how this instance wants a row to be.
type rowState int

const (
	rowWritten rowState = iota // as wanted
	rowPut
	rowDropped
)

func crashValue(r quarantiner.Row) []byte {
	value, err := encoder.Marshal(r)
	if err != nil {
		panic(err) // a number can always be encoded
	}
	return value
}

// keepCrashes has the store keep the crashes of requests with some more of them, and
// forget those that are cleared. Where not all holders are heard the first crash is kept
// too: the second may be seen by an instance that nobody here can tell.
func (g *Gatekeeper) keepCrashes(words []quarantiner.Word) {
	if len(words) == 0 {
		return
	}
	now := time.Now()
	q := &g.quarantine
	apart := !g.hearsAll()
	for _, w := range words {
		if w.Cleared {
			q.want(w.Crash(), rowDropped)
			continue
		}
		open := q.ledger.Open(w.Digest, now)
		if len(open) < quarantiner.KeptFrom && !apart {
			continue
		}
		for _, o := range open {
			q.want(o.Crash(), rowPut)
		}
	}
	signal(q.write)
}

// keepApart has the store keep what this instance saw itself while it does not hear all
// holders: it may have told a teller that could not tell the others any more.
func (g *Gatekeeper) keepApart() {
	if g.hearsAll() {
		return
	}
	g.keepCrashes(g.quarantine.ownWords(time.Now(), func(ownWord) bool { return true }))
}

// hearsAll reports whether the holders of all failure domains are heard.
func (g *Gatekeeper) hearsAll() bool {
	for domain, l := range g.links {
		if l.silence() > unheard && !g.controllers[domain].holds() {
			return false
		}
	}
	return true
}

// want notes how a row is to be. A row that was never written need not be dropped.
func (q *quarantine) want(c quarantiner.Crash, state rowState) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.rows == nil {
		q.rows = make(map[quarantiner.Crash]rowState)
	}
	before, known := q.rows[c]
	switch {
	case known && before == state, known && before == rowWritten && state == rowPut, !known && state == rowDropped:
		return
	}
	q.rows[c] = state
}

// stored takes in whether there is a row.
func (q *quarantine) stored(c quarantiner.Crash, there bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.rows == nil {
		q.rows = make(map[quarantiner.Crash]rowState)
	}
	switch state, known := q.rows[c]; {
	case !there:
		delete(q.rows, c)
	case !known || state == rowPut:
		q.rows[c] = rowWritten
	}
}

// dropCrashes forgets what is too old.
func (g *Gatekeeper) dropCrashes(old []quarantiner.Crash) {
	for _, c := range old {
		g.quarantine.want(c, rowDropped)
	}
	if len(old) > 0 {
		signal(g.quarantine.write)
	}
}

// keepRows writes rows of crashes until ctx ends.
func (g *Gatekeeper) keepRows(ctx context.Context) {
	failed := newPauses()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.quarantine.write:
		}
		for ctx.Err() == nil && !g.futile() {
			txn, states := g.quarantine.unwritten(time.Now())
			if len(states) == 0 {
				break
			}
			sent := time.Now()
			_, err := g.Store.Write(ctx, txn)
			g.sawStore(sent, err)
			if err == nil {
				g.quarantine.written(states)
			} else {
				g.Recorder.Log(recorder.Suspect, "msg", "crashes not written", "rows", len(states), "err", err)
			}
			pause(ctx, pauseAfter(err, failed))
		}
	}
}

// unwritten returns the transaction that makes rows as they are wanted, and which.
func (q *quarantine) unwritten(now time.Time) (tabler.Txn, map[quarantiner.Crash]rowState) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var txn tabler.Txn
	states := make(map[quarantiner.Crash]rowState)
	for c, state := range q.rows {
		if state == rowWritten || len(states) == writeMost {
			continue
		}
		states[c] = state
		key := rowKey(c)
		if state == rowDropped {
			txn.Deletes = append(txn.Deletes, key)
			continue
		}
		word, _ := q.ledger.Word(c, now)
		txn.Puts = append(txn.Puts, tabler.Put{Key: key, Value: crashValue(word.Row(now))})
	}
	return txn, states
}

// written notes that rows are as they were wanted when they were sent.
func (q *quarantine) written(states map[quarantiner.Crash]rowState) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for c, state := range states {
		switch {
		case q.rows[c] != state: // wanted otherwise since
		case state == rowDropped:
			delete(q.rows, c)
		default:
			q.rows[c] = rowWritten
		}
	}
}

func rowKey(c quarantiner.Crash) string {
	return tableHolders + "/" + prefixCrash + string(c.Digest) + "/" + c.Runner
}

// crashRowOf returns the crash that a row is of; ok is false if it is another row.
func crashRowOf(key string) (c quarantiner.Crash, ok bool) {
	rest, ok := strings.CutPrefix(key, tableHolders+"/"+prefixCrash)
	if !ok {
		return c, false
	}
	digest, runner, ok := strings.Cut(rest, "/")
	return quarantiner.Crash{Digest: quarantiner.Digest(digest), Runner: runner}, ok
}

// crashRow takes in a row of a crash. One that is dropped was cleared, or is too old.
func (g *Gatekeeper) crashRow(c quarantiner.Crash, r tabler.Row) {
	word := quarantiner.Word{Digest: c.Digest, Runner: c.Runner, Cleared: r.Removed}
	if !r.Removed {
		var row quarantiner.Row
		if err := encoder.Unmarshal(r.Value, &row); err != nil {
			g.Recorder.Log(recorder.Suspect, "msg", "crash not understood", "row", r.Key, "err", err)
			return
		}
		word = row.Word(c, time.Now())
	}
	g.hearWords([]quarantiner.Word{word}, fromStore)
	g.quarantine.stored(c, !r.Removed)
	current, known := g.quarantine.ledger.Word(c, time.Now())
	if !r.Removed && (known && current.Cleared || word.Age >= quarantiner.Memory) && g.holdsAny() {
		// It was cleared before it was written, or is too old. Left there, it would be
		// suspected again after a restart of all instances, or stay for good.
		g.quarantine.want(c, rowDropped)
		signal(g.quarantine.write)
	}
}
