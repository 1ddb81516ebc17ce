package gatekeeper

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/detourer"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

var streamSeeds = flag.Uint64("streams.seeds", 2, "number of seeds of the random test of streams that are taken up")

// streamSites are the numbers of instances and failure domains that are played.
var streamSites = []struct{ instances, domains int }{{4, 2}, {9, 4}, {30, 3}, {195, 6}, {332, 6}}

// A streamNet connects instances in memory and counts what they send.
type streamNet struct {
	mu       sync.Mutex
	running  map[string]*Gatekeeper // by address; nil while an instance is down
	cutOff   map[string]bool        // addresses that reach each other only
	thawed   map[string]bool        // addresses that were cut off before
	messages atomic.Int64
	bytes    atomic.Int64
	latest   time.Duration // largest time that Find has taken
}

func (n *streamNet) at(address string) *Gatekeeper {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.running[address]
}

// reach returns an instance if another one reaches it.
func (n *streamNet) reach(from, to string) *Gatekeeper {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cutOff[from] != n.cutOff[to] {
		return nil
	}
	return n.running[to]
}

func (n *streamNet) count(m relayer.Message) {
	data, _ := encoder.Marshal(m)
	n.messages.Add(1)
	n.bytes.Add(int64(len(data)))
}

// streamPeers are the connections of one instance.
type streamPeers struct {
	Peers

	net  *streamNet
	from string // address
}

func (p streamPeers) Send(_ context.Context, address string, m relayer.Message) error {
	p.net.count(m)
	to := p.net.reach(p.from, address)
	if to == nil {
		return errConnection
	}
	time.AfterFunc(linkLatency, func() {
		if p.net.at(address) == to {
			to.HandleStreams(m.(relayer.Streams))
		}
	})
	return nil
}

func (p streamPeers) Open(_ context.Context, address string, m relayer.Message) (Conversation, error) {
	p.net.count(m)
	to := p.net.reach(p.from, address)
	if to == nil {
		return nil, errConnection
	}
	return &streamConversation{to: to, message: m}, nil
}

// A streamConversation is one question for a stream.
type streamConversation struct {
	Conversation

	to      *Gatekeeper
	message relayer.Message
	found   relayer.FoundStream
}

func (c *streamConversation) Next(ctx context.Context) (relayer.Message, error) {
	pause(ctx, 2*linkLatency)
	err := c.to.handle(ctx, heartbeater.Instance{}, c.message, c)
	return c.found, err
}

// Finish implements responder.
func (c *streamConversation) Finish(m relayer.Message) error {
	c.found = m.(relayer.FoundStream)
	return nil
}

func (*streamConversation) Abandoned() bool            { return false }
func (*streamConversation) Begun() <-chan struct{}     { return nil }
func (*streamConversation) Close()                     {}
func (*streamConversation) Send(relayer.Message) error { return nil }

// A streamSite is a deployment before a service with a runner of each of some software versions.
type streamSite struct {
	ctx      context.Context
	net      *streamNet
	store    *feedStore
	versions []string // of the runners, and in the rows
	ids      []string
	domains  map[string]string
	stops    map[string]context.CancelFunc
}

func newStreamSite(ctx context.Context, instances, domains int, versions ...string) *streamSite {
	s := &streamSite{
		ctx: ctx, net: &streamNet{running: make(map[string]*Gatekeeper), cutOff: make(map[string]bool)}, versions: versions, store: newFeedStore(),
		domains: make(map[string]string), stops: make(map[string]context.CancelFunc),
	}
	for n := range instances {
		id := fmt.Sprint("front-", n)
		s.ids = append(s.ids, id)
		s.domains[id] = fmt.Sprint("d", n%domains)
	}
	for _, id := range s.ids {
		s.start(id)
	}
	return s
}

// start starts an instance that knows its peers and the runners.
func (s *streamSite) start(id string) {
	g := newDomainGatekeeper(id, s.domains[id])
	g.Peers, g.Store = streamPeers{net: s.net, from: id}, s.store
	for _, version := range s.versions {
		addStreamRunner(g, version)
		row := versionRow{"llm", version}
		value, _ := encoder.Marshal(row)
		g.applyLeaderRow(leaderRow(row.key(), value))
	}
	g.directory.onChange(s.peers(s.ids))
	g.headcount.observe(len(s.ids), time.Now())
	s.net.mu.Lock()
	s.net.running[id] = g
	s.net.mu.Unlock()
	ctx, stop := context.WithCancel(s.ctx)
	s.stops[id] = stop
	go g.sendStreamRecords(ctx)
	go g.keepStreamRow(ctx)
}

func addStreamRunner(g *Gatekeeper, version string) {
	g.Fleet.Set(tracker.Runner{ID: "i-" + version, Service: "llm", Domain: "d0", Revision: 1, Version: version})
}

// kill kills instances at the same moment and starts them again after a time.
func (s *streamSite) kill(down time.Duration, ids ...string) {
	s.net.mu.Lock()
	for _, id := range ids {
		s.stops[id]()
		s.net.running[id] = nil
	}
	s.net.mu.Unlock()
	time.Sleep(down)
	for _, id := range ids {
		s.start(id)
	}
}

// A begunStream is a stream whose first event has been passed on.
type begunStream struct {
	request forwarder.Request
	at      string // instance
	version string
}

func (s *streamSite) begin(n int, rng *rand.Rand) begunStream {
	b := begunStream{
		request: forwarder.Request{ID: fmt.Sprint("q", n), Service: "llm", Deadline: time.Now().Add(12 * time.Second)},
		at:      s.ids[rng.IntN(len(s.ids))], version: []string{"v1", "v2"}[rng.IntN(2)],
	}
	s.net.at(b.at).Began(&b.request, b.version)
	return b
}

// takeUp takes a stream up at an instance, and returns whether it goes on and whether at another
// version.
func (s *streamSite) takeUp(b begunStream, at string) (goesOn, mixed bool) {
	began := time.Now()
	r := forwarder.Request{ID: b.request.ID + "-again", Resumes: b.request.ID, Service: "llm", Deadline: b.request.Deadline}
	pin, refused := s.net.at(at).Find(s.ctx, &r)
	s.net.latest = max(s.net.latest, time.Since(began))
	return refused == nil, refused == nil && pin != tracker.PinTo(b.version)
}

// Guards against streams that go on at another software version, or are lost, where the instance
// that began them is killed together with others.
func TestStreamsAreRememberedDespiteFaults(t *testing.T) {
	for _, site := range streamSites {
		for _, killed := range []int{1, 3, site.instances} {
			t.Run(fmt.Sprintf("%d of %d killed", killed, site.instances), func(t *testing.T) {
				total, lost, mixed := 0, 0, 0
				var messages, bytes int64
				var latest time.Duration
				for seed := range *streamSeeds {
					synctest.Test(t, func(t *testing.T) {
						ctx, cancel := context.WithCancel(t.Context())
						defer cancel()
						rng := rand.New(rand.NewPCG(seed, uint64(site.instances)))
						s := newStreamSite(ctx, site.instances, site.domains, "v1", "v2")
						var streams []begunStream
						for n := range 100 {
							streams = append(streams, s.begin(n, rng))
							time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
						}
						time.Sleep(10 * time.Millisecond)
						messages, bytes = messages+s.net.messages.Load(), bytes+s.net.bytes.Load()
						dead := make(map[string]bool)
						for _, n := range rng.Perm(site.instances)[:killed] {
							dead[s.ids[n]] = true
						}
						var ids []string
						for id := range dead {
							ids = append(ids, id)
						}
						s.kill(200*time.Millisecond, ids...)
						for _, b := range streams {
							if !dead[b.at] {
								continue
							}
							goesOn, wrong := s.takeUp(b, s.ids[rng.IntN(len(s.ids))])
							total++
							if !goesOn {
								lost++
							}
							if wrong {
								mixed++
							}
						}
						latest = max(latest, s.net.latest)
						cancel()
						synctest.Wait()
						time.Sleep(recordSendTimeout) // lets the timers run out
					})
				}
				count := float64(100 * *streamSeeds)
				t.Logf("%d streams taken up: %d lost, %d at another version; %.2f messages and %.0f bytes for each stream, at most %s to find one", total, lost, mixed, float64(messages)/count, float64(bytes)/count, latest)
				if mixed > 0 {
					t.Errorf("%d of %d streams went on at another version", mixed, total)
				}
				if killed < site.instances && 2*lost > total {
					t.Errorf("%d of %d streams were lost, at most half may", lost, total)
				}
			})
		}
	}
}

// A streamFault is what happens while a service whose runners have had one version gets a second one,
// or does not, until the instance that began streams has failed.
type streamFault struct {
	name       string
	cutOff     string // "instance" or "domain": it reaches nobody else and takes the streams up
	storeAway  bool
	newVersion bool // known where nothing is cut off
	releases   int  // further versions that come there one after the other, in place of those before
	thaws      bool // what was cut off stood still, and is in touch again as it takes the streams up
	restart    bool // the instance that failed starts again
	restartAll bool
	served     float64 // smallest share of the streams that have to go on, over all sites
}

var streamFaults = []streamFault{
	{name: "one instance restarts", restart: true, served: 1},
	{name: "all instances restart", restartAll: true, served: 1},
	{name: "the store is away", restart: true, storeAway: true, served: 1},
	{name: "the store is away and an instance is down", storeAway: true, served: 0.5},
	{name: "an instance is cut off", cutOff: "instance"},
	{name: "an instance is cut off while a second version comes", cutOff: "instance", newVersion: true},
	{name: "a failure domain is cut off", cutOff: "domain"},
	{name: "a failure domain is cut off while a second version comes", cutOff: "domain", newVersion: true},
	{name: "an instance stands still while a second version comes", cutOff: "instance", newVersion: true, thaws: true},
	{name: "an instance stands still during three releases", cutOff: "instance", releases: 3, thaws: true},
	{name: "an instance is cut off during three releases", cutOff: "instance", releases: 3},
	{name: "a failure domain stands still during three releases", cutOff: "domain", releases: 3, thaws: true},
	{name: "a failure domain is cut off during a release that begins before", cutOff: "domain", newVersion: true, releases: 2},
	{name: "a second version comes and an instance restarts", newVersion: true, restart: true, served: 1},
}

// cut cuts instances off.
func (s *streamSite) cut(what string, rng *rand.Rand) {
	one := s.ids[rng.IntN(len(s.ids))]
	s.net.mu.Lock()
	defer s.net.mu.Unlock()
	for _, id := range s.ids {
		if what != "" && id == one || what == "domain" && s.domains[id] == s.domains[one] {
			s.net.cutOff[id] = true
		}
	}
}

// dropSilent makes the instances that are cut off list each other only, as their leader does with
// those that no longer report to it.
func (s *streamSite) dropSilent() {
	for _, id := range s.side(true) {
		g := s.net.at(id)
		g.directory.onChange(s.peers(s.side(true)))
		g.headcount.observe(len(s.side(true)), time.Now())
	}
}

func (s *streamSite) peers(ids []string) (all []detourer.Peer) {
	for _, id := range ids {
		all = append(all, detourer.Peer{ID: id, Address: id, Domain: s.domains[id]})
	}
	return all
}

// readStore makes all instances that run and are not cut off know the runners as they are now.
func (s *streamSite) readStore() {
	for _, id := range s.ids {
		if g := s.net.at(id); g != nil && !s.net.cutOff[id] {
			g.runners.recordCall(nil, 1, time.Now())
		}
	}
}

// side returns the instances that are cut off, or those that are not.
func (s *streamSite) side(cutOff bool) (ids []string) {
	for _, id := range s.ids {
		if s.net.cutOff[id] == cutOff {
			ids = append(ids, id)
		}
	}
	return ids
}

// play plays a fault, and returns how many streams were taken up, went on, and went on at another version.
func (f streamFault) play(s *streamSite, rng *rand.Rand) (total, served, mixed int) {
	s.readStore()
	time.Sleep(2 * time.Second)
	s.cut(f.cutOff, rng)
	inTouch := s.side(false)
	versions := []string{"v1"}
	if f.newVersion {
		versions = append(versions, "v2")
		for _, id := range inTouch {
			addStreamRunner(s.net.at(id), "v2")
		}
	}
	time.Sleep(1500 * time.Millisecond)
	if rng.IntN(2) == 0 && !f.thaws { // one that stands still drops nobody
		s.dropSilent()
	}
	at := inTouch[rng.IntN(len(inTouch))]
	streams := s.beginAt(at, versions, rng)
	for n := range f.releases {
		next := fmt.Sprint("v", n+3)
		for _, id := range inTouch {
			addStreamRunner(s.net.at(id), next)
			for _, version := range versions {
				s.net.at(id).Fleet.Remove("i-"+version, 2)
			}
		}
		versions = []string{next}
		time.Sleep(400 * time.Millisecond)
		streams = append(streams, s.beginAt(at, versions, rng)...)
	}
	time.Sleep(100 * time.Millisecond)
	if f.thaws {
		s.thaw()
	}
	s.fail(f, at)
	if !f.storeAway && !f.thaws {
		s.readStore()
	}
	out := s.side(f.cutOff != "")
	if f.thaws {
		out = slices.Sorted(maps.Keys(s.net.thawed))
	}
	takers := slices.DeleteFunc(out, func(id string) bool { return s.net.at(id) == nil || id == at && !f.restartAll })
	for _, b := range streams {
		goesOn, wrong := s.takeUp(b, takers[rng.IntN(len(takers))])
		total++
		if goesOn {
			served++
		}
		if wrong {
			mixed++
		}
	}
	return total, served, mixed
}

// thaw brings instances in touch again that were suspended while they were cut off: by their clocks they have read the
// store a moment ago.
func (s *streamSite) thaw() {
	s.readStore()
	s.net.mu.Lock()
	defer s.net.mu.Unlock()
	s.net.thawed, s.net.cutOff = s.net.cutOff, make(map[string]bool)
	for id := range s.net.thawed {
		g, suspended := s.net.running[id], time.Duration(0)
		began := time.Now()
		g.suspension.uptime = func() time.Duration { return time.Since(began) + suspended }
		g.runners.recordCall(nil, 1, began)
		_ = g.suspension.since(began)
		time.Sleep(100 * time.Millisecond)
		suspended = 3 * time.Second
	}
}

// beginAt begins streams at an instance, at one of some versions each.
func (s *streamSite) beginAt(at string, versions []string, rng *rand.Rand) (streams []begunStream) {
	for n := range 20 {
		version := versions[rng.IntN(len(versions))]
		b := begunStream{request: forwarder.Request{ID: fmt.Sprint("q", version, n), Service: "llm", Deadline: time.Now().Add(12 * time.Second)}, at: at, version: version}
		s.net.at(at).Began(&b.request, b.version)
		streams = append(streams, b)
	}
	return streams
}

// fail kills the instance that began streams, or all of them.
func (s *streamSite) fail(f streamFault, at string) {
	switch {
	case f.restartAll:
		s.kill(200*time.Millisecond, s.ids...)
	case f.restart:
		s.kill(200*time.Millisecond, at)
	default:
		s.stops[at]()
		s.net.mu.Lock()
		s.net.running[at] = nil
		s.net.mu.Unlock()
	}
}

// Guards against streams that go on at another version where an instance that is cut off takes the
// only version that it knows for theirs, and against streams that are refused where nothing but the
// store is away or instances restart.
func TestOnlyVersionIsTakenOnlyOnEvidence(t *testing.T) {
	for _, f := range streamFaults {
		t.Run(f.name, func(t *testing.T) {
			total, served, mixed := 0, 0, 0
			for _, site := range streamSites[:3] {
				siteTotal, siteServed := 0, 0
				for seed := range 5 * *streamSeeds {
					synctest.Test(t, func(t *testing.T) {
						ctx, cancel := context.WithCancel(t.Context())
						defer cancel()
						s := newStreamSite(ctx, site.instances, site.domains, "v1")
						a, b, c := f.play(s, rand.New(rand.NewPCG(seed, uint64(site.instances))))
						siteTotal, siteServed, mixed = siteTotal+a, siteServed+b, mixed+c
						cancel()
						synctest.Wait()
						time.Sleep(recordSendTimeout) // lets the timers run out
					})
				}
				t.Logf("%d instances: %d streams taken up, %d went on", site.instances, siteTotal, siteServed)
				total, served = total+siteTotal, served+siteServed
			}
			t.Logf("%d streams taken up: %d went on, %d at another version", total, served, mixed)
			if mixed > 0 {
				t.Errorf("%d of %d streams went on at another version", mixed, total)
			}
			if float64(served) < f.served*float64(total) {
				t.Errorf("%d of %d streams went on, want a share of %.1f", served, total, f.served)
			}
		})
	}
}

// Guards against a stream that goes on at the version that was the only one known before the holders
// were asked, where this instance learns of a second one while it waits for them.
func TestSecondVersionIsNoticedWhileHoldersAreAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newStreamSite(ctx, 4, 2, "v1")
		taker := s.net.at(s.ids[0])
		s.readStore()
		time.Sleep(5 * time.Second)
		time.AfterFunc(linkLatency, func() {
			addStreamRunner(taker, "v2")
			taker.runners.recordCall(nil, 1, time.Now())
		})
		if goesOn, _ := s.takeUp(begunStream{request: forwarder.Request{ID: "q", Deadline: time.Now().Add(time.Second)}, version: "v2"}, s.ids[0]); goesOn {
			t.Error("the stream goes on at v1")
		}
	})
}

// Guards against streams that are refused where their service has had one software version only,
// though nobody remembers them: as after a restart of all instances.
func TestUnknownStreamGoesOnAtTheOnlyVersion(t *testing.T) {
	for _, tc := range []struct {
		name    string
		rows    []string // versions in the store
		runners []string // versions of the runners
		gone    []string // versions whose runners are gone
		want    tracker.VersionPin
		refused bool
	}{
		{"one version", []string{"v1"}, []string{"v1", "v1"}, nil, tracker.PinTo("v1"), false},
		{"two serve", []string{"v1"}, []string{"v1", "v2"}, nil, tracker.VersionPin{}, true},
		{"another one has left since this instance started", []string{"v1"}, []string{"v1"}, []string{"v2"}, tracker.VersionPin{}, true},
		{"another one has left before", []string{"v1", "v2"}, []string{"v1"}, nil, tracker.VersionPin{}, true},
		{"nothing is stored", nil, []string{"v1"}, nil, tracker.VersionPin{}, true},
		{"the stored one has no runner yet", []string{"v1"}, nil, nil, tracker.PinTo("v1"), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newDomainGatekeeper("a-1", "a")
				g.headcount.observe(1, time.Now())
				for _, version := range tc.rows {
					row := versionRow{"llm", version}
					value, err := encoder.Marshal(row)
					if err != nil {
						t.Fatal(err)
					}
					g.applyLeaderRow(leaderRow(row.key(), value))
				}
				for n, version := range append(tc.gone, tc.runners...) {
					g.Fleet.Set(tracker.Runner{ID: fmt.Sprint("i-", n), Service: "llm", Domain: "a", Revision: 1, Version: version})
				}
				for n := range tc.gone {
					g.Fleet.Remove(fmt.Sprint("i-", n), 1)
				}
				pin, refused := g.Find(t.Context(), &forwarder.Request{ID: "q2", Resumes: "q1", Service: "llm", Deadline: time.Now().Add(time.Second)})
				if pin != tc.want || (refused != nil) != tc.refused {
					t.Errorf("pin %+v, refused %v", pin, refused)
				}
			})
		})
	}
}

// Guards against versions whose rows are not written, are written again and again, or stay for good.
func TestVersionRowsFollowTheRunners(t *testing.T) {
	var v versionRows
	now := time.Now()
	row := versionRow{"llm", "v1"}
	used := map[string]versionRow{row.key(): row}
	steps := []struct {
		name     string
		after    time.Duration
		used     map[string]versionRow
		stored   bool
		patience time.Duration
		puts     int
		deletes  int
	}{
		{"another leader goes first", 0, used, false, time.Second, 0, 0},
		{"it has not written it", time.Second, used, false, time.Second, 1, 0},
		{"written, and not seen yet", 2 * time.Second, used, false, time.Second, 0, 0},
		{"still not seen", 6 * time.Second, used, false, time.Second, 1, 0},
		{"stored", 7 * time.Second, used, true, 0, 0, 0},
		{"no runner has it any more", 20 * time.Second, nil, true, 0, 0, 1},
		{"deleted, and not seen yet", 21 * time.Second, nil, true, 0, 0, 0},
		{"a runner has it again", 30 * time.Second, used, false, 0, 1, 0},
	}
	for _, step := range steps {
		at := now.Add(step.after)
		v.stored = nil
		if step.stored {
			v.stored = used
		}
		txn := v.due(step.used, 0, step.patience, at)
		txn.Deletes = v.outdated(step.used, at)
		v.written(txn, true, at)
		if len(txn.Puts) != step.puts || len(txn.Deletes) != step.deletes {
			t.Errorf("%s: %d rows written and %d deleted, want %d and %d", step.name, len(txn.Puts), len(txn.Deletes), step.puts, step.deletes)
		}
	}
}

func leaderRow(key string, value []byte) tabler.Row {
	return tabler.Row{Key: key, Value: value, Version: 1}
}
