package driver

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
)

// A Quarantine records which requests crash the engines that run them.
type Quarantine interface {
	// Crashed reports that an engine restarted, and the requests whose responses had
	// broken off there with the time that each had run.
	Crashed(engine string, requests map[quarantiner.Digest]time.Duration)
	// Refusal returns the refusal of a quarantined request, nil if the request may run.
	Refusal(call *streamer.Call) *judge.Error
}

// A brokenResponse records a response that broke off.
type brokenResponse struct {
	at  time.Time
	ran time.Duration
}

// recordBroken records that a response broke off, unless this instance ended it. The next
// report shows whether the engine crashed: a restarted engine has a new incarnation.
func (d *Driver) recordBroken(ctx context.Context, e *engine, call *streamer.Call, began time.Time) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.brokenResponses == nil {
		e.brokenResponses = make(map[quarantiner.Digest]brokenResponse)
	}
	e.brokenResponses[call.Digest()] = brokenResponse{at: now, ran: now.Sub(began)}
	e.reportRequested = time.Time{} // request a report at once
}

// suspects removes and returns the requests whose responses broke off before a report was
// requested. The caller holds the lock.
func (e *engine) suspects(requested time.Time) map[quarantiner.Digest]time.Duration {
	suspects := make(map[quarantiner.Digest]time.Duration)
	for d, b := range e.brokenResponses {
		if b.at.Before(requested) {
			suspects[d] = b.ran
			delete(e.brokenResponses, d)
		}
	}
	return suspects
}
