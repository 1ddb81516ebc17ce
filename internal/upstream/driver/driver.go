package driver

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/adapter/loader"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
	"github.com/sardinetiller/sardinetiller/internal/setting/parser"
	"github.com/sardinetiller/sardinetiller/internal/upstream/caller"
	"github.com/sardinetiller/sardinetiller/internal/upstream/orderer"
)

// An Ownership decides which runners this instance may act on.
type Ownership interface {
	// FencingToken returns the fencing token of the ownership if this instance may start
	// or continue to act on the runner.
	FencingToken(runner string) (uint64, bool)
	// Owns reports whether the roster assigns the runner to this instance.
	Owns(runner string) bool
	// MayOrder reports whether an order may be sent to the runner now.
	MayOrder(runner string) bool
	// PreviousOwners returns the incarnations that may have owned a runner before.
	PreviousOwners() []string
	// RequestRelease asks a previous owner to release the runner. It returns false until
	// that owner has released it, and an empty handover if its process has
	// terminated.
	RequestRelease(ctx context.Context, owner, runner string) (keeper.Handover, bool)
}

// Permits grants permits to load from the weight store.
type Permits interface {
	// Acquire waits for a permit. The value is the stall that the load removes.
	// A nil release means that no permit was granted within ctx. It returns false
	// if the allocator cannot be reached; the driver then loads within its share
	// of the rate.
	Acquire(ctx context.Context, value float64) (release func(), ok bool)
}

// A Driver operates the runners of one failure domain. Its fields are set before
// use; it is safe for concurrent use.
type Driver struct {
	Copies     func(adapter string) int // in the failure domain
	Domain     string
	Engine     caller.Engine
	Evictor    func() keeper.Evictor // for engines declared later
	Logger     log.Logger
	Metrics    *metrics.Set
	Permits    Permits // nil to load within the share of the rate only
	Quarantine Quarantine
	Self       string // incarnation
	Ownership  Ownership

	permitRequests int // permit requests in flight
	budget         *loader.Budget
	mu             sync.Mutex
	loadTime       ewma // duration of a load
	names          []string
	runTime        ewma // duration of a run
	runners        map[string]*engine
	version        uint64 // incremented when the state of any runner changes
}

// Initial estimates, in seconds, before any load or run was observed.
const (
	initialLoadTime = 0.5
	initialRunTime  = 0.5
)

// Declare applies the engines of the settings and the limits of their queues.
func (d *Driver) Declare(services []parser.Service, queue int, share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	declared := make(map[string]bool)
	for _, s := range services {
		for _, u := range s.Upstreams {
			if s.Type == parser.TypeEngine && u.Domain == d.Domain {
				declared[u.Name] = true
				d.declare(u, queue, share)
			}
		}
	}
	for name, e := range d.runners {
		if !declared[name] && !e.dropped {
			e.dropped = true
			e.Leave() // it completes its requests and accepts no new ones
			d.markChanged(e)
		}
	}
}

// Names returns the engines of the failure domain that are in the settings.
func (d *Driver) Names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(d.names), func(name string) bool { return d.runners[name].dropped })
}

// LoadQueueLen returns the length of the load queue, in adapters.
func (d *Driver) LoadQueueLen() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loadQueueLen()
}

// SetShare sets this instance's share of the weight store's rate.
func (d *Driver) SetShare(weights parser.Weights, share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	d.setLimits(weights, share)
}

// Estimates returns the average duration of a load and of a run.
func (d *Driver) Estimates() (load, run time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.init()
	return d.loadTime.duration(), d.runTime.duration()
}

// Tick updates every runner, including those that were removed from the settings:
// requests that are queued there are refused, so that they go to another runner.
// It is called several times a second.
func (d *Driver) Tick(ctx context.Context, now time.Time) {
	d.mu.Lock()
	names := slices.Clone(d.names)
	d.mu.Unlock()
	for _, name := range names {
		d.check(ctx, name, now)
	}
	d.Pump(ctx, now)
}

// Loads returns the load of the owned runners, the state of the runners that
// changed after version, and the version to pass to the next call.
func (d *Driver) Loads(version uint64) ([]relayer.Load, []relayer.State, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var loads []relayer.Load
	var states []relayer.State
	wait := d.loadQueueWait()
	for number, name := range d.names {
		e := d.runners[name]
		if e.version > version {
			states = append(states, e.state(number, name))
		}
		if e.Keeper.Owned() {
			loads = append(loads, e.load(number, wait))
		}
	}
	return loads, states, d.version
}

// Drain marks an engine as accepting no new requests.
func (d *Driver) Drain(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.runners[name]; ok && !e.Leaving() {
		e.Leave()
		d.markChanged(e)
	}
}

// Handover answers the next owner: whether this instance has released the
// runner, and which adapters its requests still use.
func (d *Driver) Handover(name string) (keeper.Handover, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.runners[name]
	if !ok {
		return keeper.Handover{}, true // never known here
	}
	if e.Keeper.Owned() && !d.Ownership.Owns(name) {
		d.abandonOwnership(e)
	}
	return e.Keeper.Handover()
}

// Idle reports whether no request is queued or running here. Requests whose
// response has ended here, but not confirmed by the engine, do not count: nobody
// waits for them, and an engine that is down would keep the instance from ever
// stopping. The next owner learns from the instance list that this process has
// terminated.
func (d *Driver) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.runners {
		if len(e.waiters) > 0 || e.Running() > e.releasing {
			return false
		}
	}
	return true
}

// Blocked returns how many slots are reserved only because a previous owner has
// not confirmed the release, and the total number of slots.
func (d *Driver) Blocked() (blocked, slots int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.runners {
		if e.Keeper.Owned() {
			blocked += e.Keeper.Blocked()
			slots += e.Keeper.Capacity
		}
	}
	return blocked, slots
}

// abandonOwnership ends the ownership and refuses the queued requests, so that they go elsewhere.
func (d *Driver) abandonOwnership(e *engine) {
	e.Keeper.Release()
	e.rejectQueued(ownerRefusal(), anyItem)
	d.markChanged(e)
}

// loadQueueWait estimates how long another load would be queued.
func (d *Driver) loadQueueWait() time.Duration {
	if d.budget == nil {
		return 0
	}
	return d.budget.Wait(d.loadQueueLen())
}

func (d *Driver) loadQueueLen() int {
	length := 0
	for _, e := range d.runners {
		length += len(e.Needs())
	}
	return length
}

func (d *Driver) markChanged(e *engine) {
	d.version++
	e.version = d.version
}

func (d *Driver) countReason(name, reason string) {
	d.Metrics.GetOrCreateCounter(name + `{reason="` + reason + `"}`).Inc()
}

func (d *Driver) declare(u parser.Upstream, queue int, share float64) {
	e, ok := d.runners[u.Name]
	if !ok {
		k := &keeper.Keeper{Capacity: u.Slots, Fencing: u.Fencing, Policy: d.Evictor(), Self: d.Self}
		e = &engine{
			Runner:  &orderer.Runner{Name: u.Name, Batch: u.Batch, Keeper: k, Queue: &admitter.Queue{}},
			waiters: make(map[string]*waiter),
		}
		e.Warm()
		d.runners[u.Name] = e
		d.names = append(d.names, u.Name) // the index in names is the runner's number on links, so entries never move
	}
	if e.dropped {
		e.dropped = false
		e.Stay()
		d.markChanged(e)
	}
	e.addr.Store(&u.Address)
	e.fencing = u.Fencing
	e.Batch = u.Batch
	e.Keeper.Capacity = u.Slots
	e.Queue.Limit = queue
	e.Queue.Share = share
}

// setLimits sets the limits of loads to this instance's share of the weight store's rate.
func (d *Driver) setLimits(w parser.Weights, share float64) {
	limit := rate.Inf
	if w.Rate > 0 {
		limit = rate.Limit(w.Rate * share)
	}
	concurrent := max(1, w.Together)
	if d.budget == nil {
		d.budget = &loader.Budget{Rate: rate.NewLimiter(limit, concurrent)}
	}
	d.budget.Rate.SetLimit(limit)
	d.budget.MaxConcurrent = concurrent
}

func (d *Driver) init() {
	if d.runners == nil {
		d.runners = make(map[string]*engine)
		d.loadTime = ewma{value: initialLoadTime}
		d.runTime = ewma{value: initialRunTime}
	}
}

func (d *Driver) warn(message, runner string, err error) {
	_ = level.Warn(d.Logger).Log("msg", message, "runner", runner, "err", err)
}
