package forwarder

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A Quarantine tracks which requests crash the runners that run them.
type Quarantine interface {
	// Suspects reports whether any request is suspected. If none is, no digests are needed.
	Suspects() bool
	// Quarantined reports whether a request is quarantined, and for how much longer.
	Quarantined(d quarantiner.Digest) (left time.Duration, quarantined bool)
	// ReportBroken reports that a connection broke on which a request had been sent to a
	// runner, and when it was sent. The Quarantine determines whether the runner crashed.
	ReportBroken(d quarantiner.Digest, runner tracker.Runner, sent time.Time)
	// ReportCompleted reports that a runner completed a request.
	ReportCompleted(d quarantiner.Digest)
}

// quarantined refuses a request that crashes runners. It is called at every poll and right
// before each attempt: a copy of the request that arrived before the verdict may have
// waited for its adapter for more than a second.
func (x *exchange) quarantined() *judge.Error {
	if !x.Quarantine.Suspects() {
		return nil
	}
	left, quarantined := x.Quarantine.Quarantined(x.digest())
	if !quarantined {
		return nil
	}
	return judge.Refuse(judge.ReasonQuarantine, "the runners that ran this request crashed").WithRetryAfter(left)
}

// digest returns the digest of the request. It is computed once.
func (x *exchange) digest() quarantiner.Digest {
	if x.cachedDigest == "" {
		r := x.request
		x.cachedDigest = quarantiner.DigestOf(r.quarantineScope(), r.Message.Method, r.Message.Target, r.Message.Body)
	}
	return x.cachedDigest
}

// reportBroken reports that the connection to a runner broke, and whether the runner may have
// been running the request, unless this instance ended the connection.
func (x *exchange) reportBroken(ctx context.Context, runner tracker.Runner, err *judge.Error) {
	if ctx.Err() != nil {
		return
	}
	x.lastRun.Broken(time.Now())
	x.eligible.breakOff(runner.ID)
	if err.Verdict != judge.NotRun {
		x.Quarantine.ReportBroken(x.digest(), runner, x.sentAt)
	}
}

// reportCompleted reports that a runner completed the request.
func (x *exchange) reportCompleted() {
	if x.Quarantine.Suspects() {
		x.Quarantine.ReportCompleted(x.digest())
	}
}
