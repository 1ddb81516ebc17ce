package quarantiner

import "time"

// MinPersistedCrashes is the minimum number of crashes of a request at which they are
// persisted, for instances that start later. One crash makes suspects of dozens of requests
// that ran on the runner, and hardly any of them is suspected again.
const MinPersistedCrashes = 2

// A Row is the persisted form of a crash. It has wall-clock time in place of an age: crashes
// are remembered for a day, so steps of the clock do not matter.
type Row struct {
	At      int64         `cbor:"1,keyasint"`           // Unix seconds
	RunTime time.Duration `cbor:"2,keyasint"`           // how long the request had run
	Cleared bool          `cbor:"3,keyasint,omitempty"` // it has since run to completion
}

// Row returns the row of a crash that is reported now.
func (r CrashReport) Row(now time.Time) Row {
	return Row{At: now.Add(-r.Age).Unix(), RunTime: r.RunTime, Cleared: r.Cleared}
}

// Report returns the crash report, as of now, of a persisted crash.
func (r Row) Report(c Crash, now time.Time) CrashReport {
	return CrashReport{Digest: c.Digest, Runner: c.Runner, RunTime: r.RunTime, Cleared: r.Cleared, Age: max(0, now.Sub(time.Unix(r.At, 0)))}
}
