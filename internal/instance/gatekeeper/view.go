package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
)

// A view is what this instance knows of a table of the store, and as of when.
// The fields before mu are set before its loops begin.
type view struct {
	name     string
	whole    func(rows []tabler.Row, version uint64) // nil: each row is a change
	change   func(row tabler.Row)                    // of a table whose rows others tell
	changes  func(rows []tabler.Row, version uint64) // nil: one after the other
	others   func() (asOf time.Time, ok bool)        // what other instances tell of it
	patience func() time.Duration                    // the age at which the store is asked
	told     moment                                  // as of when others showed it to be as known here

	mu      sync.Mutex
	rows    map[string]relayer.Row // by key, as passed on to others; not those of a table that is taken whole
	spared  time.Time              // when another instance told it last, which asks the store for this one too
	known   bool
	after   uint64    // the version up to which it is known
	newest  uint64    // version of the newest row that a call brought
	at      time.Time // as of when calls showed it to be current
	ahead   uint64    // newest version of a row that another instance told of
	aheadAt time.Time // when it told of it first

	last   time.Time               // when the last call that waits for changes was sent
	asked  time.Time               // the same; zero if it has ended
	cancel context.CancelCauseFunc // ends it
	failed int                     // calls that failed since the last one that succeeded
	err    error                   // of the last of them
}

// errReplaced ends a call in whose place another one is sent.
var errReplaced = errors.New("replaced by a later call")

// A viewState tells how old a view is, and why.
type viewState struct {
	After  uint64        // the version up to which it is known
	Age    time.Duration // since it was known to be current; never if it was not yet
	Failed int           // calls that failed since the last one that succeeded
	Err    error         // of the last of them
	Waits  time.Duration // for the answer to the call under way; 0 if there is none
}

// never is the age of what was not known yet.
const never = -time.Second

// state returns how old the view is at now, and why.
func (v *view) state(now time.Time) viewState {
	s := viewState{Age: never}
	if at, ok := v.asOf(); ok {
		s.Age = max(0, now.Sub(at))
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	s.After, s.Failed, s.Err = v.after, v.failed, v.err
	if !v.asked.IsZero() {
		s.Waits = now.Sub(v.asked)
	}
	return s
}

// asOf returns as of when the view is known to be current, by calls of this
// instance or by what others tell; ok is false if it is not known yet.
func (v *view) asOf() (at time.Time, ok bool) {
	at, ok = v.firsthand()
	if v.others == nil {
		return at, ok
	}
	if heard, told := v.others(); told && heard.After(at) {
		return heard, true
	}
	return at, ok
}

// firsthand returns as of when calls of this instance showed the view to be
// current.
func (v *view) firsthand() (at time.Time, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.at, !v.at.IsZero()
}

// doubtful reports whether the store is to be asked about the view: nothing shows
// that it is current, or another instance knows of a row that has not come.
func (v *view) doubtful(now time.Time) bool {
	at, _ := v.asOf()
	old := now.Sub(at) > v.patience()
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.known {
		return false // all is being read, which shows as much
	}
	return old || v.behind(now)
}

// current reports whether the view is known to be current: it is not old, and nobody knows of a
// row that has not come.
func (v *view) current(now time.Time) bool {
	at, ok := v.asOf()
	recent := ok && now.Sub(at) <= v.patience()
	v.mu.Lock()
	defer v.mu.Unlock()
	return recent && !v.behind(now)
}

// behind reports whether another instance knows of a row that should have come by now.
// The lock is held.
func (v *view) behind(now time.Time) bool {
	return v.ahead > v.after && now.Sub(v.aheadAt) > onTheWay
}

// upTo returns the version up to which the table is known.
func (v *view) upTo() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.after
}

// hear takes in that another instance knows the table up to the row with a
// version. It reports whether this instance knows that row too.
func (v *view) hear(newest uint64, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if newest <= v.after {
		return true
	}
	if newest > v.ahead {
		if v.ahead <= v.after {
			v.aheadAt = now
		}
		v.ahead = newest
	}
	return false
}

// tell returns what to tell other instances: the version of the newest row, and
// how long ago a call of this instance showed that there is no newer one. What it
// was told itself it does not pass on: two instances that told each other in turn
// would find each other current for ever.
func (v *view) tell(now time.Time) (newest uint64, age time.Duration, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newest, now.Sub(v.at), v.newest > 0 && !v.at.IsZero()
}

// began notes that the call that waits for changes is sent, and returns from which
// version it is to ask; known is false if all is to be read.
func (v *view) began(now time.Time, cancel context.CancelCauseFunc) (after uint64, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.last, v.asked, v.cancel = now, now, cancel
	return v.after, v.known
}

// lately reports whether a call that waits for changes was sent a moment ago.
func (v *view) lately(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.last.IsZero() && now.Sub(v.last) < 2*lastAgain
}

// ended notes how a call ended.
func (v *view) ended(err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		v.failed++
		v.err = err
		return
	}
	v.failed, v.err = 0, nil
}

// idle notes that no call waits for changes.
func (v *view) idle() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.asked, v.cancel = time.Time{}, nil
}

// replace ends the call that waits for changes, if it was sent before a time;
// another one is sent in its place.
func (v *view) replace(before time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cancel != nil && v.asked.Before(before) {
		v.cancel(errReplaced)
	}
}

// reached takes in the rows of a call, and up to which version and as of when the
// table is known by it.
func (v *view) reached(rows []tabler.Row, version uint64, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.known = true
	v.after = max(v.after, version)
	if at.After(v.at) {
		v.at = at
	}
	if v.whole != nil {
		return // nobody is told of it by rows
	}
	packed := make([]relayer.Row, 0, len(rows))
	for _, r := range rows {
		packed = append(packed, pack(r))
	}
	v.keep(packed)
}

// keep keeps rows for others.
func (v *view) keep(rows []relayer.Row) {
	if v.rows == nil {
		v.rows = make(map[string]relayer.Row)
	}
	for _, r := range rows {
		v.newest = max(v.newest, r.Version)
		if r.Version >= v.rows[r.Key].Version {
			v.rows[r.Key] = r
		}
	}
}

// isSpared reports whether another instance tells this one of the table, so that it
// need not ask the store itself.
func (v *view) isSpared(now time.Time) bool {
	at, ok := v.asOf()
	recent := now.Sub(at) <= v.patience() // before the lock: it takes those of the tenures, which are held by whoever tells
	v.mu.Lock()
	defer v.mu.Unlock()
	return ok && recent && now.Sub(v.spared) <= unheard
}

// forget notes that the changes since the last call are not to be had: all is to
// be read.
func (v *view) forget() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.known = false
}

// take takes in all rows of the table as of a version.
func (v *view) take(rows []tabler.Row, version uint64) {
	if v.whole != nil {
		v.whole(rows, version)
		return
	}
	v.takeChanges(rows, version)
}

// takeChanges takes in the rows that have changed up to a version.
func (v *view) takeChanges(rows []tabler.Row, version uint64) {
	if v.changes != nil {
		v.changes(rows, version)
		return
	}
	for _, row := range rows {
		v.change(row)
	}
}
