package gatekeeper

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// The tables of this program. A renewal changes a row of tenures several times
// a minute, which nobody waits for; a takeover changes one of holders, which
// everybody does.
const (
	tableHolders = "holder"
	tableTenures = "tenure"
)

const (
	// leadEvery is how often a holder looks whether orders are due. News of what
	// requests need makes it look at once.
	leadEvery = 25 * time.Millisecond
	// leadLeast is the pause after a look. The holder of dozens of runners is told of
	// needs some hundred times a second; with a look for each it is the busiest instance
	// by far.
	leadLeast = 4 * time.Millisecond
	// quietDomain is how long nothing may be heard from the holder of the own
	// domain before its row is looked at, and lookEvery how often from then on.
	quietDomain = time.Second
	lookEvery   = time.Second
	// lookers is how many looks at a row all instances of a domain take together in
	// lookEvery, if there are more than that. A holder that stopped as planned is
	// replaced an eighth of a second later then; with a look of each a second, a death
	// costs hundreds of calls.
	lookers = 8
)

// lead looks after the tenures until ctx ends.
func (g *Gatekeeper) lead(ctx context.Context) {
	repeater.Now(ctx, leadEvery, g.kicks, func() {
		for _, d := range g.controllers {
			d.tenure(ctx)
			d.tick(ctx)
		}
		pause(ctx, leadLeast)
	})
}

// kickLead makes a holder look for orders that are due.
func (g *Gatekeeper) kickLead() { signal(g.kicks) }

// holdsAny reports whether this instance holds a tenure.
func (g *Gatekeeper) holdsAny() bool {
	for _, d := range g.controllers {
		if d.holds() {
			return true
		}
	}
	return false
}

// tenure reads or writes the row of the tenure if that is due.
func (d *controller) tenure(ctx context.Context) {
	if d.gatekeeper.Leaving() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := uptime()
	if d.calling || now < d.next {
		return
	}
	holds := d.elector.Holds(now)
	if !holds && !d.vacant() {
		d.looking = false
		return
	}
	if d.elector.Stale() {
		d.call(func() { d.read(ctx) })
		return
	}
	if w, ok := d.elector.Next(now); ok && (holds || !d.deferred()) {
		if w.Takeover && w.Row.Fence > 1 && d.elector.Holder().Holder != d.gatekeeper.Config.ID {
			runners := d.some(probed)
			d.call(func() { d.takeOver(ctx, w, runners) })
		} else {
			d.call(func() { d.write(ctx, w) })
		}
		return
	}
	if !holds && d.looks(now) {
		d.call(func() { d.read(ctx) })
	}
}

// looks reports whether this instance looks at the row of a tenure now that nobody
// seems to hold. Those of a domain look in turns.
func (d *controller) looks(now time.Duration) bool {
	period := d.lookPeriod()
	if !d.looking {
		d.looking = true
		d.look = now + rand.N(period)
	}
	if now < d.look {
		return false
	}
	d.look = now + period
	return true
}

// lookPeriod returns how long after one look at the row this instance looks again.
func (d *controller) lookPeriod() time.Duration {
	g := d.gatekeeper
	neighbours := g.headcount.told() / len(g.domains())
	return max(lookEvery, time.Duration(neighbours)*lookEvery/lookers)
}

// vacant reports whether nobody seems to hold the tenure.
func (d *controller) vacant() bool {
	limit := quietDomain
	if d.domain != d.gatekeeper.Config.Domain {
		limit += foreignLate
	}
	return d.gatekeeper.links[d.domain].silence() > limit
}

// heardOf takes in the renewal that the holder told of.
func (d *controller) heardOf(row elector.Tenure, version uint64, age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.elector.Heard(row, version, age, uptime())
}

// over takes in that the holder with a fencing number has given the tenure up.
func (d *controller) over(fence uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.elector.Ended(fence, uptime())
}

func (d *controller) call(do func()) {
	d.calling = true
	go func() {
		do()
		d.mu.Lock()
		d.calling = false
		d.mu.Unlock()
	}()
}

func (d *controller) read(ctx context.Context) {
	sent := time.Now()
	row, err := d.gatekeeper.Store.Get(ctx, tableTenures+"/"+d.domain)
	d.gatekeeper.sawStore(sent, err)
	var tenure elector.Tenure
	if err == nil && row.Version > 0 {
		err = encoder.Unmarshal(row.Value, &tenure)
	}
	if err == nil {
		// The call that waits for changes of the holders may be one that nobody
		// answers; the instance would not follow the new one.
		d.gatekeeper.links[d.domain].setHolder(tenure)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.next = uptime() + lookEvery
		return
	}
	d.elector.Read(tenure, row.Version, uptime())
}

func (d *controller) write(ctx context.Context, w elector.Write) {
	sent := time.Now()
	version, err := d.gatekeeper.Store.Write(ctx, d.txn(w))
	var conflict *tabler.ConflictError
	if !errors.As(err, &conflict) {
		d.gatekeeper.sawStore(sent, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.elector.Lost()
		d.next = uptime() + again
		d.gatekeeper.Recorder.Log(recorder.Belief, "msg", "tenure not written", "domain", d.domain, "fence", w.Row.Fence,
			"takeover", w.Takeover, "err", err)
		return
	}
	d.elector.Written(w, version, uptime())
	if w.Takeover {
		d.counting = time.Time{} // those that were passed on are not all
		d.gatekeeper.Recorder.Log(recorder.Belief, "msg", "tenure taken", "domain", d.domain, "fence", w.Row.Fence, "version", version)
		d.gatekeeper.links[d.domain].setHolder(w.Row)
	}
}

// resign gives up the tenures, and frees their rows as far as the store can be
// reached; else whoever takes them over waits as long as after a death.
func (g *Gatekeeper) resign(ctx context.Context) {
	for _, d := range g.controllers {
		d.mu.Lock()
		w, held := d.elector.Leave(uptime())
		d.rest()
		d.mu.Unlock()
		if held {
			go d.free(ctx, w)
		}
	}
}

// free frees the row. A renewal that was under way may have changed it meanwhile;
// left as it is then, nobody would order there until its lease has run out.
func (d *controller) free(ctx context.Context, w elector.Write) {
	_, err := d.gatekeeper.Store.Write(ctx, d.txn(w))
	var conflict *tabler.ConflictError
	if errors.As(err, &conflict) {
		err = d.freeAgain(ctx, w)
	}
	d.gatekeeper.Recorder.Log(recorder.Belief, "msg", "tenure given up", "domain", d.domain, "fence", w.Row.Fence, "err", err)
}

func (d *controller) freeAgain(ctx context.Context, w elector.Write) error {
	row, err := d.gatekeeper.Store.Get(ctx, tableTenures+"/"+d.domain)
	if err != nil {
		return err
	}
	var tenure elector.Tenure
	if err := encoder.Unmarshal(row.Value, &tenure); err != nil {
		return err
	}
	if tenure.Holder != d.gatekeeper.Config.ID || tenure.Fence != w.Row.Fence {
		return nil // somebody else holds it already
	}
	w.Version = row.Version
	_, err = d.gatekeeper.Store.Write(ctx, d.txn(w))
	return err
}

// txn returns the transaction that writes the row of the tenure.
func (d *controller) txn(w elector.Write) tabler.Txn {
	value, err := encoder.Marshal(w.Row)
	if err != nil {
		panic(err) // a Tenure can always be encoded
	}
	key := tableTenures + "/" + d.domain
	txn := tabler.Txn{Checks: []tabler.Check{{Key: key, Version: w.Version}}, Puts: []tabler.Put{{Key: key, Value: value}}}
	if w.Takeover {
		txn.Puts = append(txn.Puts, tabler.Put{Key: tableHolders + "/" + d.domain, Value: value})
	}
	return txn
}

// watchHolders keeps who holds the tenures.
func (g *Gatekeeper) watchHolders(ctx context.Context) {
	g.setViews()
	g.follow(ctx, &g.holders, longWatch)
}

func (g *Gatekeeper) holderRow(r tabler.Row) {
	if c, ok := crashRowOf(r.Key); ok {
		g.crashRow(c, r)
		return
	}
	var tenure elector.Tenure
	if err := encoder.Unmarshal(r.Value, &tenure); err != nil {
		g.Recorder.Log(recorder.Belief, "msg", "tenure not understood", "row", r.Key, "err", err)
		return
	}
	domain := r.Key[len(tableHolders)+1:]
	if l, ok := g.links[domain]; ok {
		l.setHolder(tenure)
		if tenure.Holder != g.Config.ID {
			g.controllers[domain].heardOf(tenure, r.Version, 0) // written with the row of the tenure
		}
	}
}

// ordered logs and counts an order.
func (g *Gatekeeper) ordered(r tracker.Runner, o placer.Order, outcome placer.Outcome, fence uint64, took time.Duration, err error) {
	operation := "load"
	if o.Unload {
		operation = "unload"
	}
	g.Metrics.GetOrCreateCounter(fmt.Sprintf(`sardinetiller_orders_total{operation=%q,outcome=%q}`, operation, outcome.String())).Inc()
	g.Recorder.Log(recorder.Order, "runner", r.ID, "operation", operation, "copy", o.Copy, "expected", o.Expected, "fence", fence,
		"outcome", outcome, "took", took, "err", err)
}
