package gatekeeper

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/elector"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
	"github.com/sardinetiller/sardinetiller/internal/wire/pooler"
)

// A simulation is a simulated deployment in virtual time: complete instances with their
// connections, the store, and the rows that runners write. The test decides who leads each
// domain.
type simulation struct {
	t       *testing.T
	rng     *rand.Rand
	domains []string
	store   *feedStore
	log     *simLog
	load    configurer.Load // settings of instances that start

	mu            sync.Mutex
	instances     []*member
	fences        map[string]uint64
	runners       []*simRunner
	lastAvailable time.Time // when the store was last available
	outageStart   time.Time // when it was last available before it came back
	outageEnd     time.Time // when it last came back
	lastFault     time.Time // when the store last failed for any instance
	began         time.Time
}

// A member is one instance of a simulated deployment.
type member struct {
	sim    *simulation
	id     string
	domain string
	store  *storeClient // connection to the store

	mu               sync.Mutex
	g                *Gatekeeper
	ctx              context.Context
	stop             context.CancelFunc
	pausedUntil      time.Time // until when it is paused
	partitionedUntil time.Time // until when it is partitioned from the other instances
	faultUntil       time.Time // until when any fault lasts
}

// quotaWindow is the window in which quotas are checked.
const quotaWindow = 8 * time.Second

// A simLog collects the logs of all instances, with the virtual time.
type simLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *simLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(line)
}

// newSimulation returns a deployment that has just started, with the first instance of each
// domain as its leader.
func newSimulation(t *testing.T, rng *rand.Rand, domains, instances int) *simulation {
	return newSimulationWithLoad(t, rng, domains, instances, configurer.Load{})
}

// newSimulationWithLoad is newSimulation with instances that have these settings from their start:
// their loops read them.
func newSimulationWithLoad(t *testing.T, rng *rand.Rand, domains, instances int, load configurer.Load) *simulation {
	s := &simulation{t: t, rng: rng, store: newFeedStore(), log: &simLog{}, fences: make(map[string]uint64), load: load, began: time.Now()}
	s.store.configure(1)
	for n := range domains {
		s.domains = append(s.domains, string(rune('a'+n)))
	}
	for n := range instances {
		m := &member{sim: s, id: fmt.Sprint("front-", n), domain: s.domains[n%domains]}
		m.store = &storeClient{feedStore: s.store, member: m}
		s.instances = append(s.instances, m)
		m.start()
		if n < domains {
			s.giveLease(m.domain, m)
		}
	}
	t.Cleanup(func() {
		s.end()
		synctest.Wait()
		if path := os.Getenv("SITE_LOG"); path != "" && t.Failed() {
			_ = os.WriteFile(path, s.log.buf.Bytes(), 0o600)
		}
	})
	return s
}

// end stops all instances.
func (s *simulation) end() {
	for _, m := range s.instances {
		m.kill()
	}
}

// instanceAt returns the instance with an address.
func (s *simulation) instanceAt(address string) *member {
	for _, m := range s.instances {
		if m.id == address {
			return m
		}
	}
	return nil
}

// newSettledSimulation returns a deployment of one failure domain with one runner, which all
// instances have known for a while.
func newSettledSimulation(t *testing.T, instances int) (*simulation, *checker) {
	s := newSimulation(t, rand.New(rand.NewPCG(1, 1)), 1, instances)
	return s, s.settle()
}

// settle adds a runner and waits until all instances know it.
func (s *simulation) settle() *checker {
	s.addRunner("a")
	c := newChecker(s)
	s.advance(5*time.Second, c)
	return c
}

// giveLease makes an instance the leader of a domain.
func (s *simulation) giveLease(domain string, m *member) {
	s.mu.Lock()
	s.fences[domain]++
	fence := s.fences[domain]
	s.mu.Unlock()
	m.acquireLease(domain, fence)
	value, err := encoder.Marshal(elector.Lease{Leader: m.id, Address: m.id, Fence: fence})
	if err != nil {
		s.t.Fatal(err)
	}
	s.store.put(tabler.Row{Key: tableLeaders + "/" + domain, Value: value})
}

// leads reports whether an instance considers itself the leader of a domain.
func (m *member) leads(domain string) bool { return m.gatekeeper().controllers[domain].leads() }

func (m *member) acquireLease(domain string, fence uint64) {
	d := m.gatekeeper().controllers[domain]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.elector = elector.Elector{Self: m.id, Address: m.id, LeaseDuration: time.Hour}
	d.elector.ObserveRow(elector.Lease{Fence: fence - 1}, fence, uptime())
	w, ok := d.elector.Next(uptime())
	if !ok {
		m.sim.t.Fatal("the lease cannot be acquired")
	}
	d.elector.WriteSucceeded(w, fence+1, uptime())
	m.gatekeeper().Recorder.Log("belief", "msg", "acquires the lease", "domain", domain, "fence", fence)
}

// stepDown makes an instance release the lease of a domain.
func (m *member) stepDown(domain string) {
	d := m.gatekeeper().controllers[domain]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.elector = elector.Elector{Self: m.id, Address: m.id, LeaseDuration: time.Hour}
}

// start starts the instance without state.
func (m *member) start() {
	g := newTestGatekeeper()
	g.Config.ID, g.Config.Domain, g.Config.Domains = m.id, m.domain, m.sim.domains
	g.Fleet = &tracker.Fleet{Domain: m.domain}
	g.Pool = &pooler.Pool{}
	g.Store, g.Decoder, g.Peers = m.store, simDecoder{}, simPeers{m}
	g.Recorder.Instance, g.Recorder.Out = m.id, m.sim.log
	g.Config.Bounds.Quota = quotaWindow
	g.Config.Load = m.sim.load
	g.init()
	g.setViews()
	ctx, stop := context.WithCancel(context.Background())
	m.mu.Lock()
	m.g, m.ctx, m.stop = g, ctx, stop
	m.mu.Unlock()
	loops := []func(context.Context){g.watchLeaders, g.watchOperator, g.watchRunners, m.expireRemovals}
	if os.Getenv("SITE_LOG") != "" {
		loops = append(loops, func(ctx context.Context) { g.Recorder.Run(ctx.Done()) })
	}
	for _, l := range g.links {
		loops = append(loops, l.followSource, l.followLeader)
	}
	for _, loop := range loops {
		go loop(ctx)
	}
}

// expireRemovals executes pending removals, unless the instance is paused.
func (m *member) expireRemovals(ctx context.Context) {
	for g := m.gatekeeper(); ctx.Err() == nil; pause(ctx, expiryInterval) {
		m.awaitResumed(ctx)
		g.removeExpired()
	}
}

// kill ends the instance; its connections fail.
func (m *member) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stop()
}

func (m *member) gatekeeper() *Gatekeeper {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.g
}

// running returns the instance, and the context that ends with its process.
func (m *member) running() (*Gatekeeper, context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.g, m.ctx
}

func (m *member) self() heartbeater.Instance {
	return heartbeater.Instance{ID: m.id, Domain: m.domain, Address: m.id}
}

// recordFault records a fault of the instance that lasts until a time. field is the kind of fault,
// or nil.
func (m *member) recordFault(field *time.Time, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if field != nil && until.After(*field) {
		*field = until
	}
	if until.After(m.faultUntil) {
		m.faultUntil = until
	}
}

// faultFreeSince returns when the last fault of the instance ended.
func (m *member) faultFreeSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faultUntil
}

// awaitResumed waits until the instance is not paused, or ctx ends.
func (m *member) awaitResumed(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		left := time.Until(m.pausedUntil)
		m.mu.Unlock()
		if left <= 0 {
			return
		}
		pause(ctx, left)
	}
}

// uses reports whether the instance would send requests to a runner.
func (m *member) uses(runner string) bool {
	r, known := m.gatekeeper().Fleet.Get(runner)
	return known && !r.Leaving
}

// reaches reports whether messages pass between two instances.
func (m *member) reaches(other *member) bool {
	now := time.Now()
	m.mu.Lock()
	partitionedUntil := m.partitionedUntil
	m.mu.Unlock()
	other.mu.Lock()
	defer other.mu.Unlock()
	return !now.Before(partitionedUntil) && !now.Before(other.partitionedUntil)
}
