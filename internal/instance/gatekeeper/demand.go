package gatekeeper

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A member is an instance that subscribes to the news of the domain, with what
// its requests need there.
type member struct {
	heard time.Time
	loads map[string]tracker.Load
	uses  map[needKey]int
	waits map[needKey]placer.Waiting
}

// demanded takes in what a member's requests need and use.
func (d *controller) demanded(from string, demand relayer.Demand) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.member(from)
	m.heard = now
	m.loads = demand.Loads
	d.setUses(m, demand.Uses)
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
	d.setWaits(m, demand.Waits, now)
}

func (d *controller) member(id string) *member {
	m, ok := d.members[id]
	if !ok {
		m = &member{}
		if d.members == nil {
			d.members = make(map[string]*member)
		}
		d.members[id] = m
	}
	return m
}

// setUses takes in what a member uses now, in place of what it used before. An end
// that was not told, or the member's death, so keeps no place for good.
func (d *controller) setUses(m *member, uses []relayer.Need) {
	for k, n := range m.uses {
		d.addUses(k, -n)
	}
	m.uses = make(map[needKey]int, len(uses))
	for _, u := range uses {
		k := needKey{u.Runner, u.Copy}
		m.uses[k] += u.Requests
		d.addUses(k, u.Requests)
	}
}

func (d *controller) addUses(k needKey, n int) {
	if d.uses == nil {
		d.uses = make(map[needKey]int)
	}
	d.uses[k] += n
	if d.uses[k] <= 0 {
		delete(d.uses, k)
	}
}

// setWaits takes in what a member's requests wait for now, in place of before.
func (d *controller) setWaits(m *member, waits []relayer.Wait, now time.Time) {
	before := m.waits
	m.waits = make(map[needKey]placer.Waiting, len(waits))
	for _, w := range waits {
		m.waits[needKey{w.Runner, w.Copy}] = w.Waiting
	}
	for k := range before {
		if _, still := m.waits[k]; !still {
			d.sumWaits(k, now)
		}
	}
	for k := range m.waits {
		d.sumWaits(k, now)
	}
}

// sumWaits tells a runner's placer how many requests of all members wait for a
// copy.
func (d *controller) sumWaits(k needKey, now time.Time) {
	all := placer.Waiting{Priority: placer.Spare}
	for _, m := range d.members {
		if w, ok := m.waits[k]; ok {
			all.Requests += w.Requests
			all.InTime += w.InTime
			all.Priority = min(all.Priority, w.Priority)
		}
	}
	d.with(k.runner, func(p *placer.Placer) {
		if all.Requests == 0 {
			p.Unwant(k.copy)
			return
		}
		p.Wait(k.copy, all, now)
	})
}

// drop forgets a member that is silent.
func (d *controller) drop(id string, now time.Time) {
	m := d.members[id]
	d.setUses(m, nil)
	d.setWaits(m, nil, now)
	delete(d.members, id)
}

func (d *controller) with(runner string, do func(p *placer.Placer)) {
	if c, ok := d.runners[runner]; ok && c.placer != nil {
		do(c.placer)
	}
}
