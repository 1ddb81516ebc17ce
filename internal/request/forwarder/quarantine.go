package forwarder

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A Quarantine knows which requests crash the runners that run them.
type Quarantine interface {
	// Suspects reports whether any request is suspected. Without one nobody needs digests.
	Suspects() bool
	// Held reports whether a request is not to be run, and for how long yet.
	Held(d quarantiner.Digest) (left time.Duration, held bool)
	// Broke tells that the connection ended on which a request was sent to a runner at a
	// time. Whether the runner has crashed is for the Quarantine to find out.
	Broke(d quarantiner.Digest, runner tracker.Runner, sent time.Time)
	// Whole tells that a runner ran a request to its end.
	Whole(d quarantiner.Digest)
}

// quarantined refuses a request that crashes runners. It is asked at every look and
// right before each sending: a copy that arrived before the verdict may have waited for
// its adapter for a second and more.
func (p *exchange) quarantined() *judge.Error {
	if !p.Quarantine.Suspects() {
		return nil
	}
	left, held := p.Quarantine.Held(p.digest())
	if !held {
		return nil
	}
	return judge.Refuse(judge.ReasonQuarantine, "the runners that ran this request crashed").After(left)
}

// digest returns the digest of the request, which is worked out once.
func (p *exchange) digest() quarantiner.Digest {
	if p.cachedDigest == "" {
		r := p.request
		p.cachedDigest = quarantiner.DigestOf(r.quarantineScope(), r.Message.Method, r.Message.Target, r.Message.Body)
	}
	return p.cachedDigest
}

// reportBroken tells that the connection to a runner ended while it may have run the request,
// unless this instance ended it.
func (p *exchange) reportBroken(ctx context.Context, runner tracker.Runner, err *judge.Error) {
	if ctx.Err() == nil && err.Verdict != judge.NotRun {
		p.Quarantine.Broke(p.digest(), runner, p.sentAt)
	}
}

// reportCompleted tells that a runner ran the request to its end.
func (p *exchange) reportCompleted() {
	if p.Quarantine.Suspects() {
		p.Quarantine.Whole(p.digest())
	}
}
