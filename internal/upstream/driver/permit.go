package driver

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/adapter/loader"
)

// permitTimeout bounds the wait for one permit. After it a new request is made with the
// value of that time.
const permitTimeout = 5 * time.Second

// requestPermits requests permits, at most as many at once as the weight store serves
// loads. The caller holds the lock.
func (d *Driver) requestPermits(ctx context.Context, needs []loader.Need, now time.Time) {
	for d.permitRequests < min(d.budget.MaxConcurrent, len(needs)) {
		value := loader.StallRemoved(needs[d.permitRequests], now)
		d.permitRequests++
		go d.loadWithPermit(context.WithoutCancel(ctx), value)
	}
}

// loadWithPermit waits for a permit and uses it for the most valuable load of that moment.
func (d *Driver) loadWithPermit(ctx context.Context, value float64) {
	waitCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	release, ok := d.Permits.Acquire(waitCtx, value)
	if release != nil {
		d.loadOne(ctx)
		release()
	}
	cancel()
	d.mu.Lock()
	d.permitRequests--
	if !ok {
		d.countReason("sardinetiller_permit_failures_total", "allocator")
		d.loadWithoutPermit(ctx)
	}
	d.mu.Unlock()
	if ok {
		d.Pump(ctx, time.Now())
	}
}

// loadWithoutPermit loads within this instance's share of the rate, for when the
// allocator of permits cannot be reached. The caller holds the lock.
func (d *Driver) loadWithoutPermit(ctx context.Context) {
	now := time.Now()
	d.budget.Grant(d.needs(), now, func(n loader.Need) bool { return d.sendNextOrder(ctx, n, now) })
}

// loadOne loads the adapter that removes the most stall now, after an eviction if
// no slot is free.
func (d *Driver) loadOne(ctx context.Context) {
	const orders = 2 // an eviction and the load
	for range orders {
		e, n, action := d.nextOrder()
		if action == nil {
			return
		}
		d.send(ctx, e, n, action)
		if _, isLoad := action.(keeper.Load); isLoad {
			return
		}
	}
}

// nextOrder returns the next order for the most valuable load, or nil.
func (d *Driver) nextOrder() (*engine, loader.Need, keeper.Action) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, n := range d.budget.Order(d.needs(), now) {
		e, action := d.orderFor(n, now)
		if action == nil {
			continue
		}
		if _, isLoad := action.(keeper.Load); isLoad {
			d.budget.Begin(n)
		}
		return e, n, action
	}
	return nil, loader.Need{}, nil
}

// needs returns the adapters that requests wait for on the runners whose state is
// known. The caller holds the lock.
func (d *Driver) needs() []loader.Need {
	var needs []loader.Need
	for _, name := range d.names {
		if e := d.runners[name]; e.reported {
			needs = append(needs, e.Needs()...)
		}
	}
	return needs
}
