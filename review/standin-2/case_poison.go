package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["late-part"] = latePart }

const (
	poisonParts    = 40 // of a prompt
	poisonPosition = 36 // of the part that crashes runners
	poisonRunners  = 4
	poisonInterval = time.Second // between two requests with it at an instance
	poisonDown     = 3 * time.Second
	stableTime     = 3 * time.Second // stable_ms
	poisonID       = "bad0bad0"
	poisonLead     = 6 * time.Second // before the first request with that part
	poisonMargin   = time.Second     // before the first crash, in which a sound request may have been cut by it
)

// latePart: one part of a prompt crashes each runner that begins to write an answer on it.
func latePart(p *platform, trouble bool) string {
	position := poisonPosition
	if n, err := strconv.Atoi(os.Getenv("POSITION")); err == nil {
		position = n
	}
	p.configure(100, 31, route{name: "r1", prefix: "/live/", kind: "streaming", service: "llm", timeout: 12000, goal: 500, gap: 250, priority: 1, attempts: 2, resume: true})
	loads := &loadQueue{atOnce: 8}
	var mu sync.Mutex
	var crashes []time.Time
	late := 0
	var runners []*runner
	for i := range poisonRunners {
		r := &runner{id: fmt.Sprintf("i-%d", i), service: "llm", zone: "a", version: "v1", engine: true, slots: 64, events: 20, gap: 30 * time.Millisecond, loadTime: 250 * time.Millisecond, adapterSlots: 31, store: p.store, record: p.record, loaders: loads}
		r.onRequest = func(r *runner, q *http.Request, c net.Conn) (handled, open bool) {
			if !strings.Contains(q.Header.Get(wire("{prompt}")), poisonID) {
				return false, true
			}
			mu.Lock()
			if len(crashes) >= 5 && time.Since(crashes[4]) > stableTime {
				late++
			}
			crashes = append(crashes, time.Now())
			n := len(crashes)
			mu.Unlock()
			old := r.id
			p.record.add("crash", "runner", old, "request", q.Header.Get("Request-Id"), "n", n)
			r.crash()
			go func() {
				time.Sleep(poisonDown)
				p.store.remove("servers", old)
				r.restart(fmt.Sprintf("i-%d-%d", i, n))
			}()
			return true, false
		}
		r.start("127.0.0.1")
		runners = append(runners, r)
	}
	var gates []*gate
	for i := range 2 {
		g := p.newGate(fmt.Sprintf("front-a-%d", i+1), "a", "127.0.0.1", 284)
		g.start(true)
		gates = append(gates, g)
	}
	for _, g := range gates {
		if !g.awaitReady(10 * time.Second) {
			p.giveUp("an instance is not ready")
		}
	}
	time.Sleep(6 * time.Second)
	c := &client{platform: p, gates: gates, next: &atomic.Int64{}}
	type attempt struct {
		at    time.Time
		begun bool
	}
	var attempts []attempt // first attempts of sound requests
	var all sync.WaitGroup
	prompt := func(id string, bad bool) string {
		parts := make([]string, poisonParts)
		for i := range parts {
			parts[i] = fmt.Sprintf("%08x:20", 0xa000+i)
		}
		if bad {
			parts[position] = poisonID + ":20"
		}
		parts[len(parts)-1] = id + ":40"
		return wire("{prompt}: ") + strings.Join(parts, ",")
	}
	end := time.Now().Add(45 * time.Second)
	ask := func(g *gate, bad bool) {
		key, at := fmt.Sprintf("%08x", c.next.Add(1)), time.Now()
		body := fmt.Sprintf("{\"turn\":%q}", key)
		_, a, _ := c.do(g, "POST", "/live/"+key, []byte(body), "Deadline-Ms: 12000", "Model: m0", wire("{tokens}: 820,60"), prompt(key, bad))
		if bad {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		attempts = append(attempts, attempt{at, a.status == 200 && a.body != ""})
	}
	began := time.Now()
	for i, g := range gates {
		all.Go(func() {
			for time.Now().Before(end) {
				all.Go(func() { ask(g, false) })
				time.Sleep(100 * time.Millisecond)
			}
		})
		if trouble {
			all.Go(func() {
				time.Sleep(poisonLead + time.Duration(i)*time.Second)
				for time.Now().Before(end) {
					all.Go(func() { ask(g, true) })
					time.Sleep(poisonInterval)
				}
			})
		}
	}
	all.Wait()
	firstCrash, from := time.Now(), time.Now()
	if len(crashes) > 0 {
		firstCrash, from = crashes[0], crashes[min(len(crashes), 5)-1].Add(2*stableTime)
	}
	var before, beforeBegun, after, afterBegun float64
	for _, one := range attempts {
		switch {
		case one.at.Before(firstCrash.Add(-poisonMargin)) && one.at.Sub(began) < poisonLead:
			before++
			if one.begun {
				beforeBegun++
			}
		case one.at.After(from):
			after++
			if one.begun {
				afterBegun++
			}
		}
	}
	p.record.add("sum", "crashes", len(crashes), "before", before, "begun", beforeBegun, "after", after, "begun", afterBegun, "late", late)
	if before >= 20 && after >= 20 && afterBegun/after < beforeBegun/before/2 {
		return fmt.Sprintf("from %v after the fifth crash, or the last, %.0f of %.0f sound requests with the same first part began at the first attempt; before the first crash %.0f of %.0f did", 2*stableTime, afterBegun, after, beforeBegun, before)
	}
	return ""
}
