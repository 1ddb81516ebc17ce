package gatekeeper

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/gatherer"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// silent is how long after its last word a member counts no more.
const silent = 3 * time.Second

// Demanded implements relayer.Demander: a member tells what its requests need, to
// whoever orders in the domain or passes the word on to that instance.
func (g *Gatekeeper) Demanded(from heartbeater.Instance, demand relayer.Demand) {
	d, ok := g.controllers[demand.Domain]
	switch {
	case !ok:
	case d.holds():
		d.demanded(from.ID, demand)
		if demand.Urgent() {
			g.kickLead()
		}
	case g.holdsAny() || d.knows(from.ID):
		d.demanded(from.ID, demand)
		g.links[demand.Domain].pass(demand)
	}
}

// knows reports whether a member's words are passed on here. An instance that has
// just given its tenure up goes on with that until the member is told by another one;
// without that the uses of a whole domain would not count for as long.
func (d *controller) knows(member string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gather.Knows(member)
}

// demanded takes in what a member's requests need and use.
func (d *controller) demanded(from string, demand relayer.Demand) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if demand.Parted {
		d.gather.Drop(from)
		return
	}
	if d.counting.IsZero() {
		d.counting = now
	}
	d.gather.Tell(from, wordOf(demand), now)
	if from != d.gatekeeper.Config.ID && answered(demand) {
		d.cut.elsewhere = now
	}
	d.share.Learn(demand.Short, demand.Long)
	for _, n := range demand.There {
		d.with(n.Runner, func(p *placer.Placer) { d.learn(p.There(n.Copy, n.Requests, now.Add(-n.Ago))) })
	}
	for _, n := range demand.Missing {
		d.with(n.Runner, func(p *placer.Placer) { p.Late(n.Copy, now) })
	}
	for _, n := range demand.Spare {
		d.with(n.Runner, func(p *placer.Placer) { p.Want(n.Copy, placer.Spare, now) })
	}
}

// wordOf returns what a demand tells of the sums.
func wordOf(demand relayer.Demand) gatherer.Word {
	w := gatherer.Word{
		Instances: 1 + demand.Others, Loads: demand.Loads,
		Uses:  make(map[gatherer.Key]int, len(demand.Uses)),
		Waits: make(map[gatherer.Key]placer.Waiting, len(demand.Waits)),
	}
	for _, u := range demand.Uses {
		w.Uses[keyOf(u.Runner, u.Copy)] += u.Requests
	}
	for _, wait := range demand.Waits {
		w.Waits[keyOf(wait.Runner, wait.Copy)] = wait.Waiting
	}
	return w
}

func keyOf(runner string, c placer.Copy) gatherer.Key { return gatherer.Key{Runner: runner, Copy: c} }

// waits tells a runner's placer how many requests of all members wait for a copy.
func (d *controller) waits(k gatherer.Key, all placer.Waiting) {
	d.with(k.Runner, func(p *placer.Placer) {
		if all.Requests == 0 {
			p.Unwant(k.Copy)
			return
		}
		p.Wait(k.Copy, all, time.Now())
	})
}

// others returns the work of all members but one. This instance is one of them: it
// tells its own controller what it needs.
func (d *controller) others(but string, now time.Time) map[string]tracker.Load {
	d.gather.Expire(now)
	return d.gather.Loads(but)
}

// used counts a use that a member has begun.
func (d *controller) used(by string, k gatherer.Key) { d.gather.Use(by, k, time.Now()) }

func (d *controller) with(runner string, do func(p *placer.Placer)) {
	if c, ok := d.runners[runner]; ok && c.placer != nil {
		do(c.placer)
	}
}
