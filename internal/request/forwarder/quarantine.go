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
	// QuarantinesParts reports whether a part of a prompt is quarantined. If none is, no digests of parts are
	// needed.
	QuarantinesParts() bool
	// Trial reports whether a request with the given parts may run although one of them is quarantined:
	// the crashes do not tell that part from others, which this request does not have.
	Trial(quarantined quarantiner.Digest, parts []quarantiner.Digest) bool
	// Down reports whether a runner has crashed, or is checked for that as connections to it broke.
	Down(runner string) bool
	// ReportBroken reports that a connection broke on which a request had been sent to a
	// runner, and when it was sent. The Quarantine determines whether the runner crashed. The parts are
	// those of the prompt that may have crashed it.
	ReportBroken(d quarantiner.Digest, parts []quarantiner.Digest, runner tracker.Runner, sent time.Time)
	// ReportCompleted reports that a runner completed a request.
	ReportCompleted(d quarantiner.Digest)
	// ReportSound reports that a run has written its response for so long that no part of its prompt
	// crashes runners.
	ReportSound(parts []quarantiner.Digest)
}

// quarantined refuses a request that crashes runners, or whose prompt has a part that does. It is
// called at every poll and right before each attempt: a request that arrived before the verdict may
// have waited for its adapter for more than a second.
func (x *exchange) quarantined() *judge.Error {
	if !x.Quarantine.Suspects() {
		return nil
	}
	if left, quarantined := x.Quarantine.Quarantined(x.digest()); quarantined {
		return judge.Refuse(judge.ReasonQuarantine, "the runners that ran this request crashed").WithRetryAfter(left)
	}
	if !x.Quarantine.QuarantinesParts() {
		return nil
	}
	for _, part := range x.parts() {
		left, quarantined := x.Quarantine.Quarantined(part)
		if quarantined && part != x.trialOf && x.Quarantine.Trial(part, x.parts()) {
			x.trialOf = part
		}
		if quarantined && part != x.trialOf {
			return judge.Refuse(judge.ReasonQuarantine, "the runners that ran requests with %s of the prompt crashed", part).WithRetryAfter(left)
		}
	}
	return nil
}

// digest returns the digest of the request. It is computed once.
func (x *exchange) digest() quarantiner.Digest {
	if x.cachedDigest == "" {
		r := x.request
		x.cachedDigest = quarantiner.DigestOf(r.quarantineScope(), r.Message.Method, r.Message.Target, r.Message.Body)
	}
	return x.cachedDigest
}

// parts returns the digests of the parts of the prompt that other requests may share. They are
// computed once.
func (x *exchange) parts() []quarantiner.Digest {
	if x.cachedParts == nil && len(x.request.Parts) > 0 {
		x.cachedParts = make([]quarantiner.Digest, 0, len(x.request.Parts))
		for _, part := range x.request.Parts {
			x.cachedParts = append(x.cachedParts, quarantiner.DigestOfPart(x.request.Service, part))
		}
	}
	return x.cachedParts
}

// reportBroken reports that the connection to a runner broke, and whether the runner may have
// been running the request, unless this instance ended the connection.
func (x *exchange) reportBroken(ctx context.Context, runner tracker.Runner, err *judge.Error) {
	if ctx.Err() != nil {
		return
	}
	x.brokenAt = time.Now()
	x.lastRun.Broken(x.brokenAt)
	x.trialOf = "" // another runner would crash
	x.eligible.breakOff(runner.ID)
	if err.Verdict == judge.NotRun {
		return
	}
	var parts []quarantiner.Digest
	if x.writesSince.IsZero() || time.Since(x.writesSince) < quarantiner.SoundAfter {
		parts = x.parts()
	}
	x.Quarantine.ReportBroken(x.digest(), parts, runner, x.sentAt)
}

// reportCompleted reports that a runner completed the request.
func (x *exchange) reportCompleted() {
	if x.Quarantine.Suspects() {
		x.Quarantine.ReportCompleted(x.digest())
	}
	x.reportSound()
}

// recordWriting records that something was received of the response of the current attempt.
func (x *exchange) recordWriting(now time.Time) {
	switch {
	case x.writesSince.IsZero():
		x.writesSince = now
	case now.Sub(x.writesSince) >= quarantiner.SoundAfter:
		x.reportSound()
	}
}

// reportSound reports once that the parts of the prompt are sound.
func (x *exchange) reportSound() {
	if !x.sound && len(x.request.Parts) > 0 {
		x.sound = true
		x.Quarantine.ReportSound(x.parts())
	}
}
