//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The engine runners fail greyFraction of their requests for greyTime.
	greyFraction = 0.45
	greyTime     = 4 * time.Second
	// partitionTime is how long the instance is partitioned from all runners.
	partitionTime = 3 * time.Second
	// partitions is how often that happens at most.
	partitions = 5
	// stableTime is how long after a start an instance is in touch.
	stableTime = 3 * time.Second
	// filers and readers are the callers that send requests one after the other on kept connections.
	filers  = 12
	readers = 24
	// allowedCuts is how many requests from kept connections may lose their connection without an
	// answer after they were passed on to a sound runner.
	allowedCuts = 3
)

// playCrash partitions one instance from all runners while the model runners fail part of their
// requests. It checks the rule LOST: of the requests from kept connections that the instance has
// passed on to a sound runner, at most three may end with a closed connection and no answer.
func playCrash(p *play) (broken bool, err error) {
	p.configure()
	for n := range 4 {
		for _, service := range []string{"exit-llm", "survey-records"} {
			r, err := p.addRunner(fmt.Sprintf("i-%s-%d", service, n), service, zones[n%2], "v1", service == "exit-llm")
			if err != nil {
				return false, err
			}
			if !r.engine {
				r.work = 150 * time.Millisecond
			}
			p.register(r)
		}
	}
	for n := range 3 {
		if err := p.addFront(fmt.Sprintf("front-%d", n+1), zones[n%2]); err != nil {
			return false, err
		}
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	f := p.fronts[0]
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var cuts, answered atomic.Int64
	for n := range filers {
		callers.Go(func() { p.file(f, n, stop, &cuts, &answered) })
	}
	for n := range readers {
		callers.Go(func() { p.read(f, n, stop) })
	}
	time.Sleep(3 * time.Second)
	ends := 0
	for range partitions {
		p.partition(f)
		if cuts.Load() > allowedCuts {
			break
		}
		if f.endedByItself() == "" {
			continue
		}
		ends++
		if err := f.restart(); err != nil { // as the platform does
			return false, err
		}
		if err := await(f.name+" is ready again", f.isReady); err != nil {
			return false, err
		}
		time.Sleep(stableTime)
	}
	if f.endedByItself() != "" {
		ends++
	}
	close(stop)
	callers.Wait()
	p.rec.log("requests of callers who file: %d answered; %d from kept connections ran at a sound runner and got no answer, as their connection was closed; %d may", answered.Load(), cuts.Load(), allowedCuts)
	p.rec.log("%s ended by itself %d times", f.name, ends)
	return cuts.Load() > allowedCuts, nil
}

// partition partitions an instance from all runners for a time, while the model runners fail
// part of their requests. Without trouble it only takes the time.
func (p *play) partition(f *front) {
	if p.trouble {
		p.rec.log("the model runners fail %.2f of their requests; %s is partitioned from all runners, its connections to them are reset", greyFraction, f.name)
		for _, r := range p.runners {
			if r.engine {
				r.setFailing(greyFraction)
			}
		}
		for _, r := range p.runners {
			r.front.cut(f.outbound, cutResets)
		}
	}
	time.Sleep(partitionTime)
	for _, r := range p.runners {
		r.front.cut(f.outbound, cutNone)
	}
	p.rec.log("the partition has ended")
	time.Sleep(greyTime - partitionTime)
	for _, r := range p.runners {
		r.setFailing(0)
	}
	p.rec.log("no runner fails requests")
	time.Sleep(4 * time.Second)
}

func (r *runner) setFailing(fraction float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = fraction
}

// file sends requests that are not idempotent, one after the other on a kept connection.
func (p *play) file(f *front, n int, stop chan struct{}, cuts, answered *atomic.Int64) {
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
		id := fmt.Sprintf("file-%d-%d", n, k)
		kept := c.served > 0
		a := c.ask(id, http.MethodPost, "/file/x", 1500)
		switch {
		case a.status > 0 && a.err == nil:
			answered.Add(1)
			if a.header.Get("Connection") == "close" {
				c.close()
				c = nil
			}
			time.Sleep(20 * time.Millisecond)
		default:
			if runner := p.ranAtSound(id); kept && a.status == 0 && runner != "" {
				cuts.Add(1)
				p.rec.log("LOST: %s came from a kept connection, ran at the sound runner %s, and its connection was closed without an answer", id, runner)
			}
			c.close()
			c = nil
		}
	}
}

// ranAtSound returns the runner of the plain service at which a request ran.
func (p *play) ranAtSound(id string) string {
	for _, r := range p.runners {
		if !r.engine && r.ran(id) > 0 {
			return r.id
		}
	}
	return ""
}

// read sends streams one after the other.
func (p *play) read(f *front, n int, stop chan struct{}) {
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		default:
		}
		c, err := dialCaller(p.rec, f.caller)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		a := c.ask(fmt.Sprintf("live-%d-%d", n, k), http.MethodPost, "/live/x", 12000, "Model: "+modelName, names.Tokens+": 826,290", names.Prompt+": 5c1e07a2:119,91bd3f06:79,e4402b7d:628")
		c.close()
		if a.status != http.StatusOK {
			time.Sleep(300 * time.Millisecond)
		}
	}
}
