package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
)

// A view is this instance's copy of a table of the store, and as of when it is current. The
// fields before mu are set before its loops begin.
type view struct {
	name        string
	applyTable  func(rows []tabler.Row, version uint64) // applies a whole table; nil: each row is applied as a change
	applyRow    func(row tabler.Row)                    // applies one row, of a table whose rows other instances publish
	applyRows   func(rows []tabler.Row, version uint64) // applies a set of changes; nil: one after the other
	othersAsOf  func() (asOf time.Time, ok bool)        // as of when other instances show the table to be current
	maxAge      func() time.Duration                    // age at which the store is polled
	confirmedAt atomicTime                              // as of when others confirmed it to be as known here

	mu             sync.Mutex
	rows           map[string]relayer.Row // by key, as published to others; not for tables with applyTable
	publishedAt    time.Time              // when an instance that polls the store for this one last published it
	known          bool                   // the whole table was received, up to version after
	after          uint64                 // version up to which the table is known
	newest         uint64                 // version of the newest row received
	currentAt      time.Time              // as of when calls showed it to be current
	othersNewest   uint64                 // newest version known to another instance
	othersNewestAt time.Time              // when that was first reported

	tableReadAt time.Time               // when the whole table was last read
	lastWatchAt time.Time               // when the last watch call was sent
	watchSentAt time.Time               // the same; zero if it has ended
	cancel      context.CancelCauseFunc // cancels it
	failed      int                     // calls that failed since the last one that succeeded
	err         error                   // of the last of them
}

// errReplaced cancels a call that is replaced by another one.
var errReplaced = errors.New("replaced by a later call")

// A viewState is the age of a view and the reasons for it.
type viewState struct {
	After  uint64        // the version up to which it is known
	Age    time.Duration // since it was last known to be current; the constant never if it has not been
	Failed int           // calls that failed since the last one that succeeded
	Err    error         // of the last of them
	Waits  time.Duration // duration of the watch call in progress; 0 if there is none
}

// never is the age of a view that was not read yet.
const never = -time.Second

// state returns the age of the view at now and the reasons for it.
func (v *view) state(now time.Time) viewState {
	s := viewState{Age: never}
	if at, ok := v.asOf(); ok {
		s.Age = max(0, now.Sub(at))
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	s.After, s.Failed, s.Err = v.after, v.failed, v.err
	if !v.watchSentAt.IsZero() {
		s.Waits = now.Sub(v.watchSentAt)
	}
	return s
}

// asOf returns as of when the view is known to be current, by calls of this instance or by
// reports of others; ok is false if it is not known yet.
func (v *view) asOf() (at time.Time, ok bool) {
	at, ok = v.ownAsOf()
	if v.othersAsOf == nil {
		return at, ok
	}
	if published, confirmed := v.othersAsOf(); confirmed && published.After(at) {
		return published, true
	}
	return at, ok
}

// ownAsOf returns as of when calls of this instance showed the view to be current.
func (v *view) ownAsOf() (at time.Time, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.currentAt, !v.currentAt.IsZero()
}

// needsCheck reports whether to poll the store for the view: nothing shows that it is current,
// or another instance knows of a row that has not arrived.
func (v *view) needsCheck(now time.Time) bool {
	at, _ := v.asOf()
	old := now.Sub(at) > v.maxAge()
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.known {
		return false // the whole table is being read, which shows as much
	}
	return old || v.behind(now)
}

// current reports whether the view is known to be current: it is not old, and no other instance
// knows of a row that has not arrived.
func (v *view) current(now time.Time) bool {
	at, ok := v.asOf()
	recent := ok && now.Sub(at) <= v.maxAge()
	v.mu.Lock()
	defer v.mu.Unlock()
	return recent && !v.behind(now)
}

// behind reports whether another instance knows of a row that should have arrived by now. The
// caller holds v.mu.
func (v *view) behind(now time.Time) bool {
	return v.othersNewest > v.after && now.Sub(v.othersNewestAt) > deliveryTime
}

// upTo returns the version up to which the table is known.
func (v *view) upTo() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.after
}

// observeVersion records that another instance knows the table up to a version. It reports
// whether this instance does too.
func (v *view) observeVersion(newest uint64, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if newest <= v.after {
		return true
	}
	if newest > v.othersNewest {
		if v.othersNewest <= v.after {
			v.othersNewestAt = now
		}
		v.othersNewest = newest
	}
	return false
}

// confirmed returns what to report to other instances: the version of the newest row, and how
// long ago a call of this instance showed that there is no newer one. Reports of others are not
// relayed: two instances that reported to each other in turn would consider each other
// current forever.
func (v *view) confirmed(now time.Time) (newest uint64, age time.Duration, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newest, now.Sub(v.currentAt), v.newest > 0 && !v.currentAt.IsZero()
}

// watchBegan records that the watch call is sent, and returns from which version it is to
// continue; known is false if the whole table is to be read.
func (v *view) watchBegan(now time.Time, cancel context.CancelCauseFunc) (after uint64, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastWatchAt, v.watchSentAt, v.cancel = now, now, cancel
	return v.after, v.known
}

// calledRecently reports whether a watch call was sent recently.
func (v *view) calledRecently(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.lastWatchAt.IsZero() && now.Sub(v.lastWatchAt) < 2*maxRetryDelay
}

// callEnded records the result of a call.
func (v *view) callEnded(err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		v.failed++
		v.err = err
		return
	}
	v.failed, v.err = 0, nil
}

// watchEnded records that no watch call is in progress.
func (v *view) watchEnded() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watchSentAt, v.cancel = time.Time{}, nil
}

// replace cancels the watch call if it was sent before a time; another one is sent in its
// place.
func (v *view) replace(before time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cancel != nil && v.watchSentAt.Before(before) {
		v.cancel(errReplaced)
	}
}

// recordCall records the rows of a call, and up to which version and as of when the table is
// known by it.
func (v *view) recordCall(rows []tabler.Row, version uint64, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.known = true
	v.after = max(v.after, version)
	if at.After(v.currentAt) {
		v.currentAt = at
	}
	if v.applyTable != nil {
		return // not published to others row by row
	}
	packed := make([]relayer.Row, 0, len(rows))
	for _, r := range rows {
		packed = append(packed, pack(r))
	}
	v.storeRows(packed)
}

// storeRows stores rows for publication to others. The caller holds v.mu.
func (v *view) storeRows(rows []relayer.Row) {
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

// isPublished reports whether another instance publishes the table to this one, so that it need
// not poll the store itself.
func (v *view) isPublished(now time.Time) bool {
	at, ok := v.asOf()
	recent := now.Sub(at) <= v.maxAge() // before locking: maxAge takes the locks of the controllers, and publishing takes them before this one
	v.mu.Lock()
	defer v.mu.Unlock()
	return ok && recent && now.Sub(v.publishedAt) <= updateTimeout
}

// invalidate records that the changes since the last call are no longer available: the whole
// table has to be read.
func (v *view) invalidate() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.known = false
}

// invalidateBefore invalidates the view if it was last read in an earlier era of the store, and
// replaces the watch call: a store that has returned from a copy may never answer it, or only
// after its timeout.
func (v *view) invalidateBefore(era uint64, now time.Time) {
	if v.readIn(era) {
		return
	}
	v.invalidate()
	v.replace(now)
}

// readIn reports whether the table was read in an era of the store, or in a later one.
func (v *view) readIn(era uint64) bool { return tabler.Era(v.upTo()) >= era }

// recordTableRead records when the whole table was read.
func (v *view) recordTableRead(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tableReadAt = at
}

// untilTableRead returns how long to wait before the whole table is read again; 0 if it need not be
// read, or was not read recently.
func (v *view) untilTableRead(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known {
		return 0
	}
	return max(0, tableReadInterval-now.Sub(v.tableReadAt))
}

// applyAll applies all rows of the table as of a version.
func (v *view) applyAll(rows []tabler.Row, version uint64) {
	if v.applyTable != nil {
		v.applyTable(rows, version)
		return
	}
	v.applyChanges(rows, version)
}

// applyChanges applies the rows that have changed up to a version.
func (v *view) applyChanges(rows []tabler.Row, version uint64) {
	if v.applyRows != nil {
		v.applyRows(rows, version)
		return
	}
	for _, row := range rows {
		v.applyRow(row)
	}
}
