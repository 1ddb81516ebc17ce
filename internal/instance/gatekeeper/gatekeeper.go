// Package gatekeeper runs an instance that sends requests straight to runners.
//
// It keeps the configuration and the runners up to date from the platform's
// store, holds or follows the tenure of each failure domain, gives orders where
// it holds one, and tells the holders of the others what its requests need.
package gatekeeper

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/member/gatherer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/pooler"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A Decoder decodes what the operator and the runners write into the store.
type Decoder interface {
	// Tables names the tables of the operator and of the runners.
	Tables() (operator, runners string)
	// Catalog decodes the configuration; ok is false if the row is another one.
	Catalog(r tabler.Row) (c *matcher.Catalog, ok bool, err error)
	// Runner decodes a runner; of one that is gone, or whose row cannot be read, it
	// returns the name only, as the ID.
	Runner(r tabler.Row) (tracker.Runner, error)
	// Version decodes the newest version of an adapter; ok is false if the row
	// is another one.
	Version(r tabler.Row) (c placer.Copy, ok bool, err error)
}

// An Engine takes orders.
type Engine interface {
	// Order sends an order. The error explains an outcome other than Accepted
	// and Holds.
	Order(ctx context.Context, to tracker.Runner, o placer.Order, holder string, fence uint64) (placer.Outcome, error)
	// Lives asks a runner whether it lives.
	Lives(ctx context.Context, runner tracker.Runner) tracker.Life
	// Report asks a runner what it holds.
	Report(ctx context.Context, from tracker.Runner) (placer.Report, error)
}

// Listeners are the sockets of an instance.
type Listeners struct {
	Caller  net.Listener
	Metrics net.Listener // nil for none
	Peer    net.Listener
	Ready   net.Listener
}

// A Gatekeeper is one instance. Its fields are set before Run.
type Gatekeeper struct {
	Config     configurer.Gateway
	Decoder    Decoder
	Engine     Engine
	Fleet      *tracker.Fleet
	Forwarder  *forwarder.Forwarder
	Front      fasthttp.RequestHandler
	Listeners  Listeners
	Metrics    *metrics.Set
	Peers      Peers
	Pool       *pooler.Pool
	Ready      func(ready func() bool) fasthttp.RequestHandler
	Recorder   *recorder.Recorder
	Store      tabler.Feed
	Unreadable func(c *fasthttp.RequestCtx, err error)

	catalog atomic.Pointer[matcher.Catalog]
	kicks   chan struct{}
	loads   estimate // of adapters from the weight store
	returns estimate // of adapters that the runner held before

	viewsSet sync.Once
	operator view // of the configuration and the versions of adapters
	holders  view // of who holds the tenures
	runners  view // of the runners

	nearest   []string // failure domains in the order in which their holders are asked to tell
	choice    choice   // who does
	headcount headcount
	reached   moment // as of when another holder reached the store
	mayAsk    moment // from when on the store may be asked for what others could tell

	learning sync.Mutex // held while what is there is compared with what is told
	looked   time.Time  // for removals that are due; under learning

	mu          sync.Mutex
	versions    map[copyName]int       // newest version of adapters that have another than the first
	controllers map[string]*controller // by failure domain
	links       map[string]*link       // by failure domain
	stopState
	pending    pendingRemovals
	storeUp    dependency
	crashes    checks
	quarantine quarantine
	quotas     quotas
}

// A copyName is an adapter without its version.
type copyName struct{ model, adapter string }

// firstVersion is the version of an adapter of which no other was named.
const firstVersion = 1

// Run serves until ctx ends, then leaves gracefully.
func (g *Gatekeeper) Run(ctx context.Context) error {
	g.init()
	g.setViews()
	g.measureAges()
	g.measureWays()
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel()
	for _, loop := range []func(context.Context){
		g.begin, g.afterHolders(g.lead),
		g.unlessTold(g.watchHolders, g.holders.isSpared),
		g.unlessTold(g.watchOperator, g.operator.isSpared),
		g.unlessTold(g.watchRunners, func(time.Time) bool { return g.told() }),
		g.expireRemovals, g.sweep, g.tellPaces, g.tellAges, g.tellCrashes, g.keepRows, g.watchQuarantine, g.settleQuotas,
	} {
		loops.Go(func() { loop(work) })
	}
	for _, l := range g.links {
		loops.Go(func() { l.listen(work) })
		loops.Go(func() { l.listenDirect(work) })
		loops.Go(func() { l.speak(work) })
	}
	g.Recorder.Log(recorder.Lifecycle, "msg", "started", "caller", g.Listeners.Caller.Addr(), "domain", g.Config.Domain)
	failed := g.listen(work, &loops)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		g.leave(work)
		return nil
	}
}

func (g *Gatekeeper) init() {
	g.kicks = make(chan struct{}, 1)
	g.quarantine.init()
	g.quotas.init(g)
	g.versions = make(map[copyName]int)
	g.controllers = make(map[string]*controller)
	g.links = make(map[string]*link)
	g.loads.set(firstLoad)
	g.returns.set(firstReturn)
	g.nearest = g.nearestDomains()
	for _, domain := range g.domains() {
		late, heard := rand.N(ownLate)+g.Config.Link.Late(), time.Time{}
		if domain != g.Config.Domain {
			// Nobody is there at a start. Without this each instance asked for the
			// tenures of all domains at once, 500 calls of 64 instances.
			late, heard = foreignLate, time.Now()
		}
		d := &controller{
			gatekeeper: g, domain: domain, runners: make(map[string]*runnerState),
			elector: elector.Elector{
				Self: g.Config.ID, Address: g.Config.Reached(), Lease: lease, Quiet: g.Config.Bounds.Quiet + quietMargin, Late: late,
			},
		}
		d.gather = gatherer.Gatherer{Freed: d.freed, Silent: silent, Waits: d.waits}
		g.controllers[domain] = d
		g.links[domain] = &link{gatekeeper: g, domain: domain, heard: heard, kick: make(chan struct{}, 1), trust: passTrust + rand.N(passSpread)}
	}
}

func (g *Gatekeeper) domains() []string {
	if len(g.Config.Domains) > 0 {
		return g.Config.Domains
	}
	return []string{g.Config.Domain}
}

const (
	// lease is how long a renewal of the tenure is trusted. Longer, and a holder
	// outlives longer outages of the store and cuts from it; shorter, and one that
	// is gone for good is replaced sooner, while one that restarts goes on at once
	// in any case. While nobody holds a tenure, adapters are not loaded there: at
	// 4 s an outage of 7 s left 500 callers without theirs in one recorded day.
	lease = 8 * time.Second
	// quietMargin is how much longer than asked the orders of two holders are
	// kept apart, for an order that is on its way.
	quietMargin = 500 * time.Millisecond
	// foreignLate is how much longer an instance waits for a domain that is not
	// its own: its own instances are nearer.
	foreignLate = 6 * time.Second
	// ownLate is over how long the instances of a domain spread its takeover. One
	// write is enough, and the others hear of it; without the spread 34 of 35 wrote in
	// vain and read the row again.
	ownLate = 400 * time.Millisecond
)

// Catalog returns the configuration in force, or nil.
func (g *Gatekeeper) Catalog() *matcher.Catalog { return g.catalog.Load() }

// Current reports whether the configuration in force is known to be the newest.
func (g *Gatekeeper) Current() bool { return g.operator.current(time.Now()) }

// Newest returns the version of an adapter that a request is to run on.
func (g *Gatekeeper) Newest(model, adapter string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if v, ok := g.versions[copyName{model, adapter}]; ok {
		return v
	}
	return firstVersion
}

// Serving reports whether callers can be served here.
func (g *Gatekeeper) Serving() bool {
	return !g.Leaving() && g.catalog.Load() != nil && len(g.Fleet.All()) > 0
}

// sweep closes connections that are not used any more.
func (g *Gatekeeper) sweep(ctx context.Context) {
	repeater.Every(ctx, time.Second, nil, func() { g.Pool.Sweep(time.Now()) })
}

// signal wakes whoever waits for a channel of one place.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // a signal that is not taken yet serves for both
	}
}

// pause waits, or until ctx ends. It does not make a timer that has run out already: on
// such a one tests of many instances crashed in the runtime's race detector.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
