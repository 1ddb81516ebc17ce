//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// trafficStart is how long after the instances callers start, drillStart when the store goes away, and
	// drillTime for how long.
	trafficStart = 10 * time.Second
	drillStart   = 11 * time.Second
	drillTime    = 300 * time.Millisecond
)

// An orderLog is what one runner has been ordered.
type orderLog struct {
	mu      sync.Mutex
	holders map[uint64]string // by fencing token
	broken  int
}

// playDrill makes the store come back from a copy that is older than the first lease, while a machine is
// added. It checks the rule ONE: no two holders with one fencing token.
func playDrill(p *play) (broken bool, err error) {
	p.configure()
	var logs []*orderLog
	for n := range 4 {
		r, err := p.addRunner(fmt.Sprintf("i-exit-llm-%d", n), "exit-llm", zones[0], "v1", true)
		if err != nil {
			return false, err
		}
		r.events, r.pause = shortStream, shortPause
		l := &orderLog{holders: make(map[uint64]string)}
		logs = append(logs, l)
		r.onOrder = l.observe(p.rec)
		p.register(r)
	}
	began, old := time.Now(), p.store.copy()
	for n := range 3 {
		if err := p.addFront(fmt.Sprintf("front-%d", n+1), zones[0]); err != nil {
			return false, err
		}
	}
	var copied time.Time
	for p.store.count("tenure", "") == 0 {
		if time.Since(began) > drillStart {
			return false, errors.New("no lease was written")
		}
		old, copied = p.store.copy(), time.Now()
		time.Sleep(5 * time.Millisecond)
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(time.Until(began.Add(trafficStart)))
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var twice, refused, answered atomic.Int64
	for n := range 12 {
		callers.Go(func() { p.review(p.fronts[n%3], n, stop, &twice, &refused, &answered) })
	}
	time.Sleep(time.Until(began.Add(drillStart)))
	if p.trouble {
		p.rec.log("the store is away for %s", drillTime)
		p.store.setDown(true)
		time.Sleep(drillTime)
		p.store.returnFrom(old)
		p.rec.log("the store is back from a copy %s old", time.Since(copied).Round(100*time.Millisecond))
	}
	if err := p.addLateFront("front-4", zones[0]); err != nil {
		return false, err
	}
	if p.trouble {
		p.configure() // the operator and the runners write again
		for _, r := range p.runners {
			p.register(r)
		}
	}
	late := p.fronts[len(p.fronts)-1]
	if err := await(late.name+" is ready", late.isReady); err != nil {
		return false, err
	}
	for n := range 4 {
		callers.Go(func() { p.review(late, 12+n, stop, &twice, &refused, &answered) })
	}
	time.Sleep(8 * time.Second)
	close(stop)
	callers.Wait()
	total := 0
	for _, l := range logs {
		total += l.broken
	}
	p.rec.log("%d orders with the fencing token of another holder, 0 may", total)
	return total > 0, nil
}

// observe returns a function that records the orders of a runner.
func (l *orderLog) observe(rec *record) func(r *runner, holder string, fence uint64) {
	return func(r *runner, holder string, fence uint64) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if other, ok := l.holders[fence]; ok && other != holder {
			l.broken++
			rec.log("ONE: %s gets an order of %s with the fencing token %d, which %s has used", r.id, holder, fence, other)
			return
		}
		l.holders[fence] = holder
	}
}
