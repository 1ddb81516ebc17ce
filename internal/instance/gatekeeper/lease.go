package gatekeeper

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// The tables that the instances write. Renewals change rows of the table of leases several times
// a minute, and nobody waits for them; a takeover also changes a row of the table of leaders,
// which every instance watches.
const (
	tableLeaders = "holder"
	tableLeases  = "tenure"
)

const (
	// leadInterval is how often a leader checks whether orders are due. A change in demand
	// triggers a check at once.
	leadInterval = 25 * time.Millisecond
	// minLeadPause is the minimum pause after a check. The leader of dozens of runners receives
	// some hundred demand reports a second; with a check for each it was by far the busiest
	// instance.
	minLeadPause = 4 * time.Millisecond
	// leaderTimeout is how long an instance receives no update from the leader of its own
	// domain before it polls the lease row, and pollInterval the interval of the polls.
	leaderTimeout = time.Second
	pollInterval  = time.Second
	// pollsPerInterval is the target for the total number of polls in pollInterval by all
	// instances of a domain, if there are more instances than that. A leader that stopped
	// gracefully is then replaced within an eighth of a second; with one poll a second by each
	// instance, the failure of a leader cost hundreds of calls.
	pollsPerInterval = 8
)

// lead maintains the leases and sends orders until ctx ends.
func (g *Gatekeeper) lead(ctx context.Context) {
	repeater.EveryNow(ctx, leadInterval, g.orderWake, func() {
		for _, c := range g.controllers {
			c.maintainLease(ctx)
			c.sendDue(ctx)
		}
		pause(ctx, minLeadPause)
	})
}

// checkOrdersNow makes a leader check for due orders at once.
func (g *Gatekeeper) checkOrdersNow() { signal(g.orderWake) }

// leadsAny reports whether this instance leads any failure domain.
func (g *Gatekeeper) leadsAny() bool {
	for _, c := range g.controllers {
		if c.leads() {
			return true
		}
	}
	return false
}

// leaderRank returns the position of the first failure domain that this instance leads; -1 if it
// leads none. The leaders that write rows for all instances wait for each other in this order.
func (g *Gatekeeper) leaderRank() int {
	return slices.IndexFunc(g.domains(), func(domain string) bool { return g.controllers[domain].leads() })
}

// maintainLease reads or writes the lease row if that is due.
func (c *controller) maintainLease(ctx context.Context) {
	if c.gatekeeper.Stopping() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := uptime()
	if c.callInFlight || now < c.retryAt {
		return
	}
	leads := c.elector.IsLeader(now)
	if !leads && !c.leaderless() {
		c.polling = false
		return
	}
	if c.elector.NeedsRead() {
		c.startCall(func() { c.readLeaseRow(ctx) })
		return
	}
	if w, ok := c.elector.Next(now); ok && (leads || !c.defersTakeover()) {
		if w.Takeover && w.Row.Fence > 1 && c.elector.Row().Leader != c.gatekeeper.Config.ID {
			runners := c.probeTargets(maxProbes)
			c.startCall(func() { c.takeOver(ctx, w, runners) })
		} else {
			c.startCall(func() { c.writeLease(ctx, w) })
		}
		return
	}
	if !leads && c.pollDue(now) {
		c.startCall(func() { c.readLeaseRow(ctx) })
	}
}

// pollDue reports whether this instance polls the lease row now, while the domain appears
// to have no leader. The polls of the domain's instances are staggered.
func (c *controller) pollDue(now time.Duration) bool {
	period := c.pollPeriod()
	if !c.polling {
		c.polling = true
		c.nextPoll = now + rand.N(period)
	}
	if now < c.nextPoll {
		return false
	}
	c.nextPoll = now + period
	return true
}

// pollPeriod returns the interval at which this instance polls the lease row.
func (c *controller) pollPeriod() time.Duration {
	g := c.gatekeeper
	neighbours := g.headcount.reported() / len(g.domains())
	return max(pollInterval, time.Duration(neighbours)*pollInterval/pollsPerInterval)
}

// leaderless reports whether the domain appears to have no leader.
func (c *controller) leaderless() bool {
	limit := leaderTimeout
	if c.domain != c.gatekeeper.Config.Domain {
		limit += foreignTakeoverDelay
	}
	return c.gatekeeper.links[c.domain].sinceUpdate() > limit
}

// recordRenewal records a renewal of the lease that the leader published.
func (c *controller) recordRenewal(lease elector.Lease, version uint64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.elector.ObserveRemote(lease, version, age, uptime())
}

// recordRelease records that the leader with the given fencing token has stepped down.
func (c *controller) recordRelease(fence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.elector.ObserveStepDown(fence, uptime())
}

func (c *controller) startCall(do func()) {
	c.callInFlight = true
	go func() {
		do()
		c.mu.Lock()
		c.callInFlight = false
		c.mu.Unlock()
	}()
}

// readLeaseRow reads the lease row from the store.
func (c *controller) readLeaseRow(ctx context.Context) {
	sent := time.Now()
	row, err := c.gatekeeper.Store.Get(ctx, tableLeases+"/"+c.domain)
	c.gatekeeper.recordStoreCall(sent, err)
	var lease elector.Lease
	if err == nil && row.Version > 0 {
		err = encoder.Unmarshal(row.Value, &lease)
	}
	if err == nil {
		// The watch on the leaders may be a call that is never answered, in which case this
		// instance would not follow the new leader.
		c.gatekeeper.links[c.domain].setLeader(lease)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.retryAt = uptime() + pollInterval
		return
	}
	if row.Version == 0 {
		c.elector.ObserveMissing(tabler.EraStart(row.Era), uptime())
		return
	}
	c.elector.ObserveRow(lease, row.Version, uptime())
}

func (c *controller) writeLease(ctx context.Context, w elector.Write) {
	sent := time.Now()
	version, err := c.gatekeeper.Store.Write(ctx, c.leaseTxn(w))
	var conflict *tabler.ConflictError
	if !errors.As(err, &conflict) {
		c.gatekeeper.recordStoreCall(sent, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.elector.WriteFailed()
		c.retryAt = uptime() + minRetryDelay
		c.gatekeeper.Recorder.Log(recorder.View, "msg", "lease write failed", "domain", c.domain, "fence", w.Row.Fence,
			"takeover", w.Takeover, "err", err)
		return
	}
	if c.elector.WriteSucceeded(w, version, uptime()) && w.Takeover {
		c.firstReportAt = time.Time{} // members whose reports were relayed are not all members
		c.gatekeeper.Recorder.Log(recorder.View, "msg", "lease acquired", "domain", c.domain, "fence", w.Row.Fence, "version", version)
		c.gatekeeper.links[c.domain].setLeader(w.Row)
	}
}

// releaseLeases releases all leases and clears their rows if the store can be reached. Otherwise
// the next leader waits as long as after a crash.
func (g *Gatekeeper) releaseLeases(ctx context.Context) {
	for _, c := range g.controllers {
		c.mu.Lock()
		w, led := c.elector.Leave(uptime())
		c.stopOrdering()
		c.mu.Unlock()
		if led {
			go c.releaseRow(ctx, w)
		}
	}
}

// releaseRow clears the row. A renewal in flight may have changed the row meanwhile; if it were
// not cleared then, no orders would be sent until the lease had expired.
func (c *controller) releaseRow(ctx context.Context, w elector.Write) {
	_, err := c.gatekeeper.Store.Write(ctx, c.leaseTxn(w))
	var conflict *tabler.ConflictError
	if errors.As(err, &conflict) {
		err = c.retryReleaseRow(ctx, w)
	}
	c.gatekeeper.Recorder.Log(recorder.View, "msg", "lease released", "domain", c.domain, "fence", w.Row.Fence, "err", err)
}

func (c *controller) retryReleaseRow(ctx context.Context, w elector.Write) error {
	row, err := c.gatekeeper.Store.Get(ctx, tableLeases+"/"+c.domain)
	if err != nil {
		return err
	}
	var lease elector.Lease
	if err := encoder.Unmarshal(row.Value, &lease); err != nil {
		return err
	}
	if lease.Leader != c.gatekeeper.Config.ID || lease.Fence != w.Row.Fence {
		return nil // another instance leads already
	}
	w.Version = row.Version
	_, err = c.gatekeeper.Store.Write(ctx, c.leaseTxn(w))
	return err
}

// leaseTxn returns the transaction that writes the lease row.
func (c *controller) leaseTxn(w elector.Write) tabler.Txn {
	value, err := encoder.Marshal(w.Row)
	if err != nil {
		panic(err) // a lease row can always be encoded
	}
	key := tableLeases + "/" + c.domain
	txn := tabler.Txn{Checks: []tabler.Check{{Key: key, Version: w.Version}}, Puts: []tabler.Put{{Key: key, Value: value}}}
	if w.Announce {
		txn.Puts = append(txn.Puts, tabler.Put{Key: tableLeaders + "/" + c.domain, Value: value})
	}
	return txn
}

// watchLeaders keeps track of the leaders of all domains.
func (g *Gatekeeper) watchLeaders(ctx context.Context) {
	g.setViews()
	g.maintainView(ctx, &g.leaders, watchTimeout)
}

func (g *Gatekeeper) applyLeaderRow(r tabler.Row) {
	if c, ok := parseCrashKey(r.Key); ok {
		g.applyCrashRow(c, r)
		return
	}
	if strings.HasPrefix(r.Key, tableLeaders+"/"+versionKeyPrefix) {
		g.applyVersionRow(r)
		return
	}
	var lease elector.Lease
	if err := encoder.Unmarshal(r.Value, &lease); err != nil {
		g.Recorder.Log(recorder.View, "msg", "malformed lease row", "row", r.Key, "err", err)
		return
	}
	domain := strings.TrimPrefix(r.Key, tableLeaders+"/")
	if l, ok := g.links[domain]; ok {
		l.setLeader(lease)
		if lease.Leader != g.Config.ID {
			g.controllers[domain].recordRenewal(lease, r.Version, 0) // both rows were written by one transaction
		}
	}
}

// logOrder logs and counts an order.
func (g *Gatekeeper) logOrder(r tracker.Runner, o placer.Order, outcome placer.Outcome, fence uint64, took time.Duration, err error) {
	operation := "load"
	if o.Unload {
		operation = "unload"
	}
	g.Metrics.GetOrCreateCounter(fmt.Sprintf(`sardinetiller_orders_total{operation=%q,outcome=%q}`, operation, outcome.String())).Inc()
	g.Recorder.Log(recorder.Order, "runner", r.ID, "operation", operation, "copy", o.Copy, "expected", o.Expected, "fence", fence,
		"outcome", outcome, "took", took, "err", err)
}
