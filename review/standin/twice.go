//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Of the ten model runners, lateRunners send lateFraction of their responses a second time, for
	// lateTime. That happens latePeriods times at most.
	modelRunners = 10
	lateRunners  = 6
	lateFraction = 0.03
	lateTime     = 5 * time.Second
	latePeriods  = 15
	// reviewers is the number of callers, and instances that of instances.
	instances = 6
	reviewers = 12
)

// playTwice makes model runners send some responses a second time, late, where the next response on the
// connection is expected. It checks the rules TWICE and REFUSED: no request that is not idempotent runs
// more than once, or is answered 429 or 503 and has run.
func playTwice(p *play) (broken bool, err error) {
	p.configure()
	for n := range modelRunners {
		r, err := p.addRunner(fmt.Sprintf("i-exit-llm-%d", n), "exit-llm", zones[n%2], "v1", true)
		if err != nil {
			return false, err
		}
		r.events, r.pause = shortStream, shortPause
		p.register(r)
	}
	for n := range instances {
		if err := p.addFront(fmt.Sprintf("front-%d", n+1), zones[n%2]); err != nil {
			return false, err
		}
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var twice, refused, answered atomic.Int64
	for n := range reviewers {
		callers.Go(func() { p.review(p.fronts[n%instances], n, stop, &twice, &refused, &answered) })
	}
	time.Sleep(3 * time.Second)
	for range latePeriods {
		if p.trouble {
			p.rec.log("%d of %d model runners send %.2f of their responses a second time", lateRunners, modelRunners, lateFraction)
			for _, r := range p.runners[:lateRunners] {
				r.setRepeating(lateFraction)
			}
		}
		time.Sleep(lateTime)
		for _, r := range p.runners {
			r.setRepeating(0)
		}
		p.rec.log("no runner repeats responses")
		if twice.Load()+refused.Load() > 0 {
			break
		}
		time.Sleep(time.Second)
	}
	close(stop)
	callers.Wait()
	for _, r := range p.runners {
		p.rec.log("%s got %d orders, and has sent %d responses a second time", r.id, r.orderCount, r.repeated)
	}
	p.rec.log("%d requests answered; %d ran more than once, 0 may; %d were answered 429 or 503 and have run, 0 may", answered.Load(), twice.Load(), refused.Load())
	return twice.Load()+refused.Load() > 0, nil
}

// review sends short streams that may not be resumed, for one of many adapters, one after the other.
func (p *play) review(f *front, n int, stop chan struct{}, twice, refused, answered *atomic.Int64) {
	var c *caller
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = dialCaller(p.rec, f.caller); err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("review-%d-%d", n, k)
		a := c.ask(id, http.MethodPost, "/review/x", 12000, fmt.Sprintf("Model: %s/a%d", modelName, 1+rand.IntN(adapters)), names.Tokens+": 826,25", names.Prompt+": 5c1e07a2:119,91bd3f06:79,e4402b7d:628")
		runs := 0
		for _, r := range p.runners {
			runs += r.ran(id)
		}
		if runs > 1 {
			twice.Add(1)
			p.rec.log("TWICE: %s ran %d times", id, runs)
		}
		if runs > 0 && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			refused.Add(1)
			p.rec.log("REFUSED: %s has run, and was answered %d", id, a.status)
		}
		if a.status == 0 || a.err != nil {
			c.close()
			c = nil
		} else {
			answered.Add(1)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
