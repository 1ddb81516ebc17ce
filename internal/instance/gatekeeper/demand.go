package gatekeeper

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
)

// demanded takes in what a member's requests need and use.
func (d *controller) demanded(from string, demand relayer.Demand) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[from]
	if !ok {
		m = &member{}
		if d.members == nil {
			d.members = make(map[string]*member)
		}
		d.members[from] = m
	}
	m.heard = now
	m.loads = demand.Loads
	for _, n := range demand.Used {
		d.with(n, func(p *placer.Placer) { p.Use(n.Copy, now) })
	}
	for _, n := range demand.There {
		d.with(n, func(p *placer.Placer) {
			p.Use(n.Copy, now)
			d.learn(p.There(n.Copy, n.Requests, now.Add(-n.Ago)))
		})
	}
	for _, n := range demand.Missing {
		d.with(n, func(p *placer.Placer) { p.Late(n.Copy, now) })
	}
	for _, n := range demand.Wants {
		d.with(n, func(p *placer.Placer) { p.Want(n.Copy, n.Priority, now) })
	}
}

func (d *controller) with(n relayer.Need, do func(p *placer.Placer)) {
	if c, ok := d.runners[n.Runner]; ok && c.placer != nil {
		do(c.placer)
	}
}
