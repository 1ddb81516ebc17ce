package gatekeeper

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A severance is a holder that does not reach the runners of its domain while others
// do: it is cut off from them and not from the store, so its tenure is renewed and no
// adapter is loaded for as long as the cut lasts. A holder that sees that gives its
// tenure up. What other instances tell of answers from those runners is the proof that
// the runners live: where all of them are gone, nobody could do better.
type severance struct {
	since     time.Time // when most runners began to be dark
	elsewhere time.Time // when another instance last told of an answer of one
}

const (
	// severedFor is how long most runners are dark before a tenure is given up. A lost
	// packet or a slow second is over by then. The next holder orders after the quiet
	// time, some four seconds later, so a shorter cut costs more than it saves; those
	// that were met last five seconds and longer.
	severedFor = 700 * time.Millisecond
	// severedAway is how long an instance leaves a tenure to others that it gave up.
	severedAway = 10 * time.Second
	// answeredFor is how long the word of an answer elsewhere proves that runners live.
	answeredFor = time.Second
)

// look takes in how many of the runners are dark, and reports whether the tenure is to
// be given up.
func (s *severance) look(dark, runners int, now time.Time) bool {
	if 2*dark <= runners {
		s.since = time.Time{}
		return false
	}
	if s.since.IsZero() {
		s.since = now
	}
	return now.Sub(s.since) >= severedFor && now.Sub(s.elsewhere) < answeredFor
}

// answered reports whether a member told of an answer of a runner.
func answered(demand relayer.Demand) bool { return len(demand.There)+demand.Short+demand.Long > 0 }

// severed reports whether this instance is to give the tenure up, as it does not reach
// the runners.
func (d *controller) severed(now time.Time) bool {
	count, runners := 0, 0
	for _, c := range d.runners {
		if c.placer == nil || c.runner.Leaving {
			continue
		}
		runners++
		if c.dark >= dark {
			count++
		}
	}
	return d.cut.look(count, runners, now)
}

// yield gives the tenure up to an instance that can do its work.
func (d *controller) yield(ctx context.Context, why string) {
	fence := d.elector.Holder().Fence
	w, held := d.elector.Yield(uptime(), severedAway)
	d.rest()
	d.ended = fence
	d.gatekeeper.Recorder.Log(recorder.Belief, "msg", "tenure is given up", "domain", d.domain, "fence", fence, "why", why)
	if held {
		go d.free(ctx, w)
	}
}

const (
	// strandedFor is how old the renewal in force of a holder is that may be cut off
	// from the store: one has failed by then, and the next one is due.
	strandedFor = 3 * time.Second
	// strandedWait is how long other holders reach the store meanwhile before it gives
	// its tenure up. Without that its domain has nobody to order from the end of its
	// lease until the next holder may, four seconds. After an outage for all, one of
	// them is the first to reach the store again; given up at that, the tenures of all
	// others cost four seconds each which a renewal a moment later would have kept.
	strandedWait = 1500 * time.Millisecond
)

// stranded reports whether the holder does not reach the store while other instances
// do. What other holders tell of calls of their own is the proof.
func (d *controller) stranded(now time.Time) bool {
	_, age := d.elector.Renewal(uptime())
	reached, ok := d.gatekeeper.reached.get()
	if age < strandedFor || !ok || now.Sub(reached) > strandedWait {
		d.stuck = time.Time{}
		return false
	}
	if d.stuck.IsZero() {
		d.stuck = now
	}
	return now.Sub(d.stuck) >= strandedWait
}
