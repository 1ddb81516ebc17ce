// Package gatekeeper runs an instance that sends requests directly to runners.
//
// It keeps the configuration and the runners up to date from the platform's store, leads or
// follows each failure domain, sends orders to the runners of the domains that it leads, and
// reports the demand of its requests to the leaders of the others.
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
	"github.com/sardinetiller/sardinetiller/internal/clock/pacer"
	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/member/aggregator"
	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/detourer"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/request/shedder"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
	"github.com/sardinetiller/sardinetiller/internal/wire/pooler"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// A Decoder decodes the rows that the operator and the runners write to the store.
type Decoder interface {
	// Tables returns the names of the tables of the operator and of the runners.
	Tables() (operator, runners string)
	// Catalog decodes the configuration; ok is false if the row holds something else.
	Catalog(r tabler.Row) (c *matcher.Catalog, ok bool, err error)
	// Runner decodes a runner; if it was removed or its row cannot be decoded, only its ID is
	// set, to its name.
	Runner(r tabler.Row) (tracker.Runner, error)
	// Version decodes the newest version of an adapter; ok is false if the row holds something
	// else.
	Version(r tabler.Row) (c placer.Copy, ok bool, err error)
}

// An Engine sends orders and queries to runners.
type Engine interface {
	// Order sends an order. The error explains an outcome other than Accepted and Applied.
	Order(ctx context.Context, to tracker.Runner, o placer.Order, leader string, fence uint64) (placer.Outcome, error)
	// Probe checks whether a runner is alive.
	Probe(ctx context.Context, runner tracker.Runner) tracker.ProbeResult
	// Reaches reports whether a runner answers on a new connection.
	Reaches(ctx context.Context, runner tracker.Runner) bool
	// Report queries which adapters a runner holds.
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
	Config          configurer.Gateway
	Decoder         Decoder
	Engine          Engine
	Fleet           *tracker.Fleet
	Forwarder       *forwarder.Forwarder
	Front           fasthttp.RequestHandler
	Headers         HeaderCodec
	Listeners       Listeners
	Metrics         *metrics.Set
	Peers           Peers
	Pool            *pooler.Pool
	Ready           func(ready func() bool) fasthttp.RequestHandler
	Recorder        *recorder.Recorder
	Store           tabler.Feed
	HandleMalformed func(c *fasthttp.RequestCtx, err error)

	catalog    atomic.Pointer[matcher.Catalog]
	orderWake  chan struct{}
	loadTime   estimate // of adapters loaded from the weight store
	reloadTime estimate // of adapters that the runner held before

	viewsSet sync.Once
	operator view // configuration and adapter versions
	leaders  view // leader of each failure domain
	runners  view // runners

	sourceDomains        []string        // failure domains in the order in which their leaders are considered as the source
	source               sourceSelection // the source in use
	headcount            headcount
	othersReachedStoreAt atomicTime // when another leader last reached the store
	discoveryEnds        atomicTime // until then the store is not read for rows that others may publish

	runnerUpdateMu  sync.Mutex // serializes the updates of the known runners
	expiryCheckedAt time.Time  // when due removals were last checked; guarded by runnerUpdateMu

	mu              sync.Mutex
	adapterVersions map[adapterKey]int     // newest version of adapters whose version is not the default one
	controllers     map[string]*controller // by failure domain
	links           map[string]*link       // by failure domain
	stopState
	pending       pendingRemovals
	storeUp       dependency
	crashes       crashChecks
	quarantine    quarantine
	quotas        quotas
	heldSlots     heldSlots
	detourer      detourer.Detourer
	directory     directory
	bound         shedder.Bound // of the requests in progress
	streams       streams
	suspension    suspensionMeter
	streamRows    streamRowReader
	storedStreams storedStreams
	versions      versionRows

	servedDetours atomic.Int64     // requests of other instances in progress
	callers       *listener.Server // serves callers; set by Run
	fallback      fallbackQueues
}

// An adapterKey identifies an adapter without its version.
type adapterKey struct{ model, adapter string }

// defaultVersion is the version of an adapter for which the store names none.
const defaultVersion = 1

// Run serves until ctx ends, then stops gracefully.
func (g *Gatekeeper) Run(ctx context.Context) error {
	g.init()
	g.suspension.uptime = uptime
	g.setViews()
	g.callers = g.newCallerServer()
	g.registerAgeGauges()
	g.registerUpdateGauges()
	g.registerReachGauges()
	if g.ordersPrompts() {
		g.registerAdmissionGauges()
	}
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel()
	for _, loop := range []func(context.Context){
		g.discoverLeaders, g.afterDiscovery(g.lead),
		g.unlessPublished(g.watchLeaders, g.leaders.isPublished),
		g.unlessPublished(g.watchOperator, g.operator.isPublished),
		g.unlessPublished(g.watchRunners, func(time.Time) bool { return g.runnersPublished() }),
		g.detectPartitions, g.watchResources, g.expireRemovals, g.closeIdle, g.logEstimates, g.logAges, g.reportCrashes, g.writeCrashRows, g.watchQuarantine, g.settleQuotas, g.sendStreamRecords, g.keepStreamRow, g.maintainVersionRows,
	} {
		loops.Go(func() { loop(work) })
	}
	for _, l := range g.links {
		loops.Go(func() { l.followSource(work) })
		loops.Go(func() { l.followLeader(work) })
		loops.Go(func() { l.reportLoop(work) })
	}
	g.Recorder.Log(recorder.Lifecycle, "msg", "started", "caller", g.Listeners.Caller.Addr(), "domain", g.Config.Domain)
	failed := g.listen(work, &loops)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		g.stop(work)
		return nil
	}
}

func (g *Gatekeeper) init() {
	g.orderWake = make(chan struct{}, 1)
	g.ending, g.end = context.WithCancel(context.Background())
	g.quarantine.init()
	g.quotas.init(g)
	g.detourer.Domain, g.detourer.Self = g.Config.Domain, g.Config.ID
	g.streams.init()
	g.directory.onChange = func(all []detourer.Peer) {
		g.detourer.SetPeers(all)
		g.streams.setMembers(all, g.Config.ID, g.Config.Domain, time.Now())
	}
	g.adapterVersions = make(map[adapterKey]int)
	g.controllers = make(map[string]*controller)
	g.links = make(map[string]*link)
	g.loadTime.set(initialLoadTime)
	g.reloadTime.set(initialReloadTime)
	g.sourceDomains = g.orderSourceDomains()
	for _, domain := range g.domains() {
		takeoverDelay, lastUpdate := rand.N(takeoverJitter)+g.Config.Link.TakeoverDelay(), time.Time{}
		if domain != g.Config.Domain {
			// At a start no domain has a leader. Without this each instance tried to acquire
			// the leases of all domains at once: 500 calls by 64 instances.
			takeoverDelay, lastUpdate = foreignTakeoverDelay, time.Now()
		}
		c := &controller{
			gatekeeper: g, domain: domain, runners: make(map[string]*runnerState),
			elector: elector.Elector{
				Self: g.Config.ID, Address: g.Config.AdvertisedAddress(), LeaseDuration: leaseDuration, QuietPeriod: g.Config.Bounds.Quiet + quietMargin, TakeoverDelay: takeoverDelay, EraOf: tabler.Era,
			},
		}
		c.aggregator = aggregator.Aggregator{OnFreed: c.reportFreed, MemberTimeout: memberTimeout, OnWaiting: c.applyWaits}
		g.controllers[domain] = c
		g.links[domain] = &link{gatekeeper: g, domain: domain, lastUpdate: lastUpdate, wake: make(chan struct{}, 1), relayTimeout: minRelayTimeout + rand.N(relayTimeoutJitter)}
	}
}

func (g *Gatekeeper) domains() []string {
	if len(g.Config.Domains) > 0 {
		return g.Config.Domains
	}
	return []string{g.Config.Domain}
}

const (
	// leaseDuration is how long a renewed lease is valid. With a longer one a leader survives
	// longer outages of the store and partitions from it; with a shorter one a leader that is
	// gone for good is replaced sooner, while one that restarts resumes at once in any case.
	// While a domain has no leader, adapters are not loaded there: at 4 s an outage of 7 s left
	// 500 callers without theirs in one recorded day.
	leaseDuration = 8 * time.Second
	// quietMargin is added to the configured quiet period between the orders of two leaders, for
	// an order in transit.
	quietMargin = 500 * time.Millisecond
	// foreignTakeoverDelay is how much longer an instance waits before it acquires the lease of
	// a domain other than its own: that domain's own instances go first.
	foreignTakeoverDelay = 6 * time.Second
	// takeoverJitter spreads the takeover of a lease by the instances of a domain. One write is
	// enough, and the others learn of it; without the jitter 34 of 35 wrote in vain and read
	// the row again.
	takeoverJitter = 400 * time.Millisecond
)

// Catalog returns the configuration in force, or nil.
func (g *Gatekeeper) Catalog() *matcher.Catalog { return g.catalog.Load() }

// ConfigCurrent reports whether the configuration in force is known to be the newest.
func (g *Gatekeeper) ConfigCurrent() bool { return g.operator.current(time.Now()) }

// NewestVersion returns the version of an adapter that a request is to use.
func (g *Gatekeeper) NewestVersion(model, adapter string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if v, ok := g.adapterVersions[adapterKey{model, adapter}]; ok {
		return v
	}
	return defaultVersion
}

// Serving reports whether this instance can serve callers.
func (g *Gatekeeper) Serving() bool {
	return !g.Stopping() && g.catalog.Load() != nil && len(g.Fleet.All()) > 0
}

// closeIdle closes idle connections.
func (g *Gatekeeper) closeIdle(ctx context.Context) {
	repeater.Every(ctx, time.Second, nil, func() { g.Pool.CloseUnusable(time.Now()) })
}

// signal wakes the receiver of a channel with a buffer of one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default: // a pending signal serves for both
	}
}

// pause waits for d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) { pacer.Sleep(ctx, d) }
