package gatekeeper

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/gatherer"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// An instance that holds a tenure passes on, to the instances of its own failure
// domain, what the holders of the others tell it, and tells each of those the sum of
// what its instances need. So between two failure domains there is one stream each
// way, however many instances they have.
//
// What passes is whole and each instance passes on only what a holder told it
// itself: a word goes over one instance at the most.

// A retold is what the holder of another failure domain told last.
type retold struct {
	acting  bool
	back    time.Duration // that an adapter takes which the runner held before
	line    time.Duration
	load    time.Duration           // that one takes from the weight store
	loads   map[string]tracker.Load // of those who do not tell through this instance
	members int
}

// hear takes in what a holder told, for those who are told of the domain by this
// instance.
func (d *controller) hear(n relayer.News, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard.acting, d.heard.line = n.Acting, n.Line
	d.heard.load, d.heard.back = n.Load, n.Return
	if n.Loaded {
		d.heard.loads, d.heard.members = n.Loads, n.Members
	}
	if d.followers == 0 {
		return
	}
	if n.Whole {
		d.news.cut()
		return
	}
	for _, h := range n.Held {
		for _, s := range h.Copies {
			d.news.add(event{held: &heldEvent{runner: h.Runner, copy: h.Copy(s), at: now.Add(s.In), there: s.In >= 0}})
		}
	}
	for _, r := range n.Rooms {
		d.news.add(event{room: &roomEvent{runner: r.Runner, wait: r.Wait}})
	}
}

// followed counts a member in that is told of the domain, until done.
func (d *controller) followed() (done func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.followers++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.followers--
	}
}

// retell fills in what the holder of the domain told last.
func (d *controller) retell(news *relayer.News, member string, due bool, now time.Time) {
	l := d.gatekeeper.links[d.domain]
	news.Tenure = d.elector.Holder()
	news.Renewal, news.Age = d.elector.Renewal(uptime())
	news.Silence = l.silence()
	if mute(*news) {
		return
	}
	news.Acting, news.Line = d.heard.acting, d.heard.line
	news.Load, news.Return = d.heard.load, d.heard.back
	if !due {
		return
	}
	news.Loaded = true
	news.Loads = d.others(member, now)
	addLoads(news.Loads, d.heard.loads)
	addLoads(news.Loads, d.gatekeeper.Fleet.LoadsIn(d.domain))
	news.Members = d.heard.members
}

// passed returns the sum of what is passed on to the holder of the domain.
func (d *controller) passed(now time.Time) gatherer.Word {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gather.Drop(d.gatekeeper.Config.ID) // told while the tenure was held here
	d.gather.Expire(now)
	return d.gather.Word()
}

// passedLoads returns the work that is passed on to the holder of the domain.
func (d *controller) passedLoads(now time.Time) map[string]tracker.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.others(d.gatekeeper.Config.ID, now)
}

// mute reports whether news is of a domain whose holder the sender does not hear. It
// tells only which runners there are, which the sender reads from the store itself.
func mute(n relayer.News) bool { return n.Silence > unheard }

func addLoads(sum, more map[string]tracker.Load) {
	for runner, load := range more {
		sum[runner] = sum[runner].Plus(load)
	}
}

// pass takes in what a member saw, to be told to the holder with this instance's own
// next word; at once where the member told it at once.
func (l *link) pass(demand relayer.Demand) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.needs.short += demand.Short
	l.needs.long += demand.Long
	for _, n := range demand.There {
		l.needs.find(keyOf(n.Runner, n.Copy), found{requests: n.Requests, sent: now.Add(-n.Ago)})
	}
	for _, n := range demand.Spare {
		l.needs.spare = mark(l.needs.spare, keyOf(n.Runner, n.Copy))
	}
	hurry := len(demand.Missing) > 0
	for _, n := range demand.Missing {
		l.needs.missing = mark(l.needs.missing, keyOf(n.Runner, n.Copy))
	}
	for _, w := range demand.Waits {
		if l.newlyAsked(keyOf(w.Runner, w.Copy), now) {
			hurry = true
		}
	}
	if hurry {
		l.hurry()
	}
}

// freed hurries where the last use of a copy that is passed on has ended and others
// wait for its place.
func (d *controller) freed(k gatherer.Key) {
	if d.acting == 0 && d.gatekeeper.Fleet.Tight(k.Runner) {
		d.gatekeeper.links[d.domain].hurry()
	}
}

// standing returns how the copies of a runner stand, and how long one that it does
// not hold waits for a place.
func (d *controller) standing(c *runnerState) (map[placer.Copy]time.Time, time.Duration) {
	if d.elector.Holds(uptime()) {
		return c.told, c.wait
	}
	return d.gatekeeper.Fleet.Standing(c.runner.ID)
}
