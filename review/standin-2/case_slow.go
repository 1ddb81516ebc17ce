package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slowMemory   = 284                    // MB that an instance may use
	slowBody     = 4 << 20                // bytes of a prompt; the limit of the configuration
	slowInterval = 300 * time.Millisecond // between two groups of them at an instance
	slowClump    = 4                      // prompts in a group
	slowFor      = 16 * time.Second       // for which the runners read slowly
	slowPlain    = 40 * time.Millisecond  // between two filings at an instance
)

// slowReaders: prompts of up to max_body_bytes come on kept connections, and the runners of the model read them
// slowly for some seconds. Filings go to the runners of another service, which are sound.
func slowReaders(p *platform, trouble bool) string {
	p.configure(100, 31,
		route{name: "r1", prefix: "/read/", kind: "streaming", service: "llm", timeout: 12000, goal: 500, gap: 250, priority: 1, attempts: 2, resume: true},
		route{name: "r2", prefix: "/file/", kind: "non_idempotent", service: "plain", timeout: 1500, goal: 150, priority: 2, attempts: 1})
	loads := &loadQueue{atOnce: 8}
	var engines []*runner
	var arrived sync.Map // requests that a runner has been passed
	for i := range 3 {
		r := &runner{id: fmt.Sprintf("i-e%d", i), service: "llm", zone: "a", version: "v1", engine: true, slots: 64, events: 6, gap: 30 * time.Millisecond, loadTime: 250 * time.Millisecond, adapterSlots: 31, store: p.store, record: p.record, loaders: loads}
		engines = append(engines, r)
		r.onArrival = func(id string) { arrived.Store(id, true) }
		r.start("127.0.0.1")
	}
	for i := range 4 {
		r := &runner{id: fmt.Sprintf("i-p%d", i), service: "plain", zone: "a", version: "v1", slots: 6, work: 100 * time.Millisecond, store: p.store, record: p.record}
		r.onArrival = func(id string) { arrived.Store(id, true) }
		r.start("127.0.0.1")
	}
	gates := []*gate{p.newGate("front-a-1", "a", "127.0.0.1", slowMemory), p.newGate("front-a-2", "a", "127.0.0.1", slowMemory)}
	for _, g := range gates {
		g.start(false)
	}
	for _, g := range gates {
		if !g.awaitReady(10 * time.Second) {
			p.giveUp("an instance is not ready")
		}
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var watch sync.WaitGroup
	for _, g := range gates {
		watch.Go(func() { g.limitMemory(stop) })
	}
	c := &client{platform: p, gates: gates, next: &atomic.Int64{}}
	body := make([]byte, slowBody)
	var served, sent, cut atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(34 * time.Second)
	load := func(g *gate, interval time.Duration, count int, send func()) {
		all.Go(func() {
			for time.Now().Before(end) {
				for range count {
					all.Go(send)
				}
				time.Sleep(interval)
			}
		})
	}
	count := func(g *gate, id string, a answer, used bool) {
		if a.err == nil && a.status == 200 {
			served.Add(1)
		}
		if _, passed := arrived.Load(id); passed && used && a.status == 0 && a.err != nil && g.endedOver() {
			cut.Add(1)
			p.record.add("lost", "request", id, "instance", g.name, "err", a.err)
		}
	}
	for _, g := range gates {
		load(g, slowInterval, slowClump, func() {
			sent.Add(1)
			id, a, used := c.do(g, "POST", "/read/x", body, "Deadline-Ms: 12000", "Model: m0", wire("{tokens}: 800,30"), wire("{prompt}: a1:100,b2:100,c3:600"))
			count(g, id, a, used)
		})
		load(g, slowPlain, 1, func() {
			sent.Add(1)
			id, a, used := c.do(g, "POST", "/file/x", []byte("{}"), "Deadline-Ms: 1500")
			count(g, id, a, used)
		})
	}
	time.Sleep(10 * time.Second)
	if trouble {
		p.record.add("trouble", "kind", "the runners of the model read slowly")
		for _, r := range engines {
			r.slow.Store(true)
		}
		time.Sleep(slowFor)
		for _, r := range engines {
			r.slow.Store(false)
		}
		p.record.add("trouble", "kind", "over")
	}
	all.Wait()
	close(stop)
	watch.Wait()
	p.record.add("sum", "sent", sent.Load(), "served", served.Load(), "lost", cut.Load(), "over_1", gates[0].over, "over_2", gates[1].over)
	if cut.Load() > 3 {
		return fmt.Sprintf("%d requests from kept connections were passed on to a runner and their connections closed without an answer; the instances had too much memory %d and %d times", cut.Load(), gates[0].over, gates[1].over)
	}
	return ""
}
