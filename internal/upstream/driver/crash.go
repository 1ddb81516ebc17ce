package driver

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
	"github.com/sardinetiller/sardinetiller/internal/request/streamer"
)

// A Quarantine knows which requests crash the engines that run them.
type Quarantine interface {
	// Crashed tells that an engine started again, and which requests had broken off
	// there and after how long.
	Crashed(engine string, requests map[quarantiner.Digest]time.Duration)
	// Held refuses a request that is not to be run; nil if it may run.
	Held(call *streamer.Call) *judge.Error
}

// A broken answer is one that broke off.
type broken struct {
	at  time.Time
	ran time.Duration
}

// broke notes that an answer broke off, unless this instance ended it. Whether the
// engine has crashed shows in its next report: it is another incarnation then.
func (d *Driver) broke(ctx context.Context, e *engine, call *streamer.Call, began time.Time) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.broke == nil {
		e.broke = make(map[quarantiner.Digest]broken)
	}
	e.broke[call.Digest()] = broken{at: now, ran: now.Sub(began)}
	e.asked = time.Time{} // look at once
}

// suspects takes out the requests that broke off before a report was asked for. Called
// with the lock held.
func (e *engine) suspects(asked time.Time) map[quarantiner.Digest]time.Duration {
	suspects := make(map[quarantiner.Digest]time.Duration)
	for d, b := range e.broke {
		if b.at.Before(asked) {
			suspects[d] = b.ran
			delete(e.broke, d)
		}
	}
	return suspects
}
