package quarantiner

import (
	"sync"
	"sync/atomic"
	"time"
)

// A Ledger holds the crash reports known to one instance. Its zero value is ready; it is safe
// for concurrent use.
type Ledger struct {
	Limit int // maximum number of crashes; 0 means defaultLimit

	mu          sync.Mutex
	suspects    map[Digest]*suspect
	quarantined map[Digest]time.Time // requests in quarantine and the end of it
	crashes     int                  // of all suspects
	seq         int                  // sequence number of the last change

	suspectCount     atomic.Int64 // number of suspects, read without the lock; 0 most of the time
	quarantinesParts atomic.Bool  // a part of a prompt has been quarantined and not released, read without the lock
}

const (
	// crashThreshold is the number of runner crashes at which a request is quarantined. It is
	// not two, as a request often runs on two runners that crash for other reasons.
	crashThreshold = 3
	// Retention is how long a request is remembered after its last crash.
	Retention = 24 * time.Hour
	// firstQuarantine is the quarantine time after the third crash. The request is then tried
	// again, as it may have been suspected wrongly. Each further crash doubles the time,
	// and after maxTrials of them the request is quarantined for as long as it is remembered.
	firstQuarantine = 10 * time.Minute
	maxTrials       = 3
	// defaultLimit bounds the size of a ledger to some megabytes. One crash under a prompt of the greatest length has
	// some 1,400 suspects.
	defaultLimit = 1 << 15
)

// A suspect is a request that was running when runners crashed.
type suspect struct {
	crashes []entry // one for each runner; mostly one
}

// An entry is one crash.
type entry struct {
	runner  string
	at      time.Time
	runTime time.Duration
	cleared bool
	seq     int // sequence number of its last change
}

// find returns the crash of a runner, or nil.
func (s *suspect) find(runner string) *entry {
	for i := range s.crashes {
		if s.crashes[i].runner == runner {
			return &s.crashes[i]
		}
	}
	return nil
}

// uncleared returns the number of crashes that are not cleared, except those of some runners,
// and the time of the last of them.
func (s *suspect) uncleared(except map[string]bool) (crashes int, last time.Time) {
	for _, e := range s.crashes {
		if e.cleared || except[e.runner] {
			continue
		}
		crashes++
		if e.at.After(last) {
			last = e.at
		}
	}
	return crashes, last
}

// runTime returns how long the request had run at the crashes that are not cleared, in total.
func (s *suspect) runTime() time.Duration {
	var total time.Duration
	for _, e := range s.crashes {
		if !e.cleared {
			total += e.runTime
		}
	}
	return total
}

// lastCrash returns the time of the last crash, cleared or not.
func (s *suspect) lastCrash() time.Time {
	var last time.Time
	for _, e := range s.crashes {
		if e.at.After(last) {
			last = e.at
		}
	}
	return last
}

// Apply applies crash reports and returns those that changed the ledger.
func (l *Ledger) Apply(reports []CrashReport, now time.Time) (changed []CrashReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		if r.Age < Retention && l.apply(r, now) {
			changed = append(changed, r)
		}
	}
	if len(changed) > 0 {
		l.enforceLimit()
		l.evaluate()
	}
	return changed
}

// apply applies a crash report and reports whether it changed the ledger.
func (l *Ledger) apply(r CrashReport, now time.Time) bool {
	if l.suspects == nil {
		l.suspects = make(map[Digest]*suspect)
	}
	s, ok := l.suspects[r.Digest]
	if !ok {
		s = &suspect{}
		l.suspects[r.Digest] = s
	}
	e := s.find(r.Runner)
	if e != nil && (e.cleared || !r.Cleared && r.RunTime >= e.runTime) {
		return false
	}
	if e == nil {
		s.crashes = append(s.crashes, entry{runner: r.Runner, at: now.Add(-max(0, r.Age)), runTime: r.RunTime})
		e = &s.crashes[len(s.crashes)-1]
		l.crashes++
	}
	l.seq++
	e.cleared, e.runTime, e.seq = r.Cleared, min(e.runTime, r.RunTime), l.seq
	return true
}

// Clear clears a request that has run to completion of all its crashes so far, and returns
// the reports of the cleared crashes.
func (l *Ledger) Clear(d Digest, now time.Time) []CrashReport {
	reports := l.Uncleared(d, now)
	if len(reports) == 0 {
		return nil
	}
	for i := range reports {
		reports[i].Cleared = true
	}
	return l.Apply(reports, now)
}

// Uncleared returns reports of the crashes of a request that are not cleared.
func (l *Ledger) Uncleared(d Digest, now time.Time) []CrashReport {
	if l.suspectCount.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.suspects[d]
	if !ok {
		return nil
	}
	var reports []CrashReport
	for _, e := range s.crashes {
		if !e.cleared {
			reports = append(reports, e.report(d, now))
		}
	}
	return reports
}

// Report returns the report of a crash; ok is false if the crash is not known.
func (l *Ledger) Report(c Crash, now time.Time) (r CrashReport, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.suspects[c.Digest]
	if !ok {
		return CrashReport{}, false
	}
	e := s.find(c.Runner)
	if e == nil {
		return CrashReport{}, false
	}
	return e.report(c.Digest, now), true
}

func (e *entry) report(d Digest, now time.Time) CrashReport {
	return CrashReport{Digest: d, Runner: e.runner, Age: now.Sub(e.at).Round(time.Millisecond), RunTime: e.runTime, Cleared: e.cleared}
}

// CrashedAt returns when a runner crashed, by the earliest report; ok is false if there is none.
func (l *Ledger) CrashedAt(runner string) (at time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.suspects {
		if e := s.find(runner); e != nil && (!ok || e.at.Before(at)) {
			at, ok = e.at, true
		}
	}
	return at, ok
}

// Quarantined reports whether a request is in quarantine, and the time left.
func (l *Ledger) Quarantined(d Digest, now time.Time) (left time.Duration, quarantined bool) {
	if l.suspectCount.Load() == 0 {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	end, quarantined := l.quarantined[d]
	return end.Sub(now), quarantined && now.Before(end)
}

// QuarantinesParts reports whether a part of a prompt may be in quarantine.
func (l *Ledger) QuarantinesParts() bool { return l.quarantinesParts.Load() }

// Discriminates reports whether a run with the given parts of a prompt tells a quarantined one of them from a rival: another
// part that was in runs at all of its crashes, and that the run lacks. A sound run clears all parts that it has, and after a
// crash the other part is a rival no more.
func (l *Ledger) Discriminates(quarantined Digest, parts []Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.suspects[quarantined]
	if !ok {
		return false
	}
	has := make(map[Digest]bool, len(parts))
	for _, d := range parts {
		has[d] = true
	}
	for other, t := range l.suspects {
		if other.IsPart() && !has[other] && s.isCoveredBy(t) {
			return true
		}
	}
	return false
}

// isCoveredBy reports whether all crashes of a suspect that are not cleared are such of another one.
func (s *suspect) isCoveredBy(other *suspect) bool {
	for _, e := range s.crashes {
		if o := other.find(e.runner); !e.cleared && (o == nil || o.cleared) {
			return false
		}
	}
	return true
}

// Empty reports whether there are no suspects.
func (l *Ledger) Empty() bool { return l.suspectCount.Load() == 0 }

// Since returns the reports that changed after a sequence number, and the number to pass to
// the next call. Sequence numbers start at 1.
func (l *Ledger) Since(after int, now time.Time) (reports []CrashReport, next int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after == l.seq {
		return nil, after
	}
	for d, s := range l.suspects {
		for _, e := range s.crashes {
			if e.seq > after {
				reports = append(reports, e.report(d, now))
			}
		}
	}
	return reports, l.seq
}

// Expire drops requests whose last crash is too old, and returns their crashes.
func (l *Ledger) Expire(now time.Time) []Crash {
	if l.suspectCount.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var old []Crash
	for d, s := range l.suspects {
		if now.Sub(s.lastCrash()) < Retention {
			continue
		}
		for _, e := range s.crashes {
			old = append(old, Crash{d, e.runner})
		}
		l.drop(d)
	}
	if len(old) > 0 {
		l.evaluate()
	}
	return old
}

func (l *Ledger) drop(d Digest) {
	l.crashes -= len(l.suspects[d].crashes)
	delete(l.suspects, d)
}

// A Case describes a suspected request.
type Case struct {
	Digest  Digest
	Crashes int       // crashes that are not cleared
	Last    time.Time // the last of them
	Until   time.Time // end of its quarantine; zero if it is not in quarantine
}

// Cases returns all requests with crashes that are not cleared.
func (l *Ledger) Cases() []Case {
	l.mu.Lock()
	defer l.mu.Unlock()
	var cases []Case
	for d, s := range l.suspects {
		if crashes, last := s.uncleared(nil); crashes > 0 {
			cases = append(cases, Case{Digest: d, Crashes: crashes, Last: last, Until: l.quarantined[d]})
		}
	}
	return cases
}
