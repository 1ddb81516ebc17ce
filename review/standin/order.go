//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// listeners is the number of streams that callers take up.
	listeners = 16
	// allowedMixed is how many streams may hold events of two software versions.
	allowedMixed = 2
	// knownTime is how long the new runners are known before streams begin, and streamTime how long
	// streams run before their instance is killed.
	knownTime  = 1500 * time.Millisecond
	streamTime = 1000 * time.Millisecond
	// takeUpTries is how often a caller tries to take its stream up.
	takeUpTries = 3
)

// playOrder cuts one instance off from the store and the other instances. Then runners of another
// software version are added, streams begin at them over a second instance, that one is killed, and its
// callers take their streams up at the first one. It checks the rule ORDER: at most two streams hold
// events from runners of two software versions, over a client's tries.
func playOrder(p *play) (broken bool, err error) {
	p.configure()
	for n := range 3 {
		r, err := p.addRunner(fmt.Sprintf("i-old-%d", n), "exit-llm", zones[n%2], "v1", true)
		if err != nil {
			return false, err
		}
		p.register(r)
	}
	for n, zone := range []string{zones[0], zones[0], zones[1]} {
		if err := p.addFront(fmt.Sprintf("front-%d", n+1), zone); err != nil {
			return false, err
		}
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	if err := await("the software version is stored", func() bool { return p.store.count("holder", "version/") == 1 }); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	first, second := p.fronts[0], p.fronts[1]
	killOnly := os.Getenv("TROUBLE") == "kill" // for comparison: the instance is not cut off
	if p.trouble && !killOnly {
		p.rec.log("%s is cut off from the store and from the other instances", first.name)
		p.cutOff(first, cutSilent)
	}
	cutAt := time.Now()
	for n := range 3 {
		r, err := p.addRunner(fmt.Sprintf("i-new-%d", n), "exit-llm", zones[n%2], "v2", true)
		if err != nil {
			return false, err
		}
		p.register(r)
	}
	time.Sleep(knownTime)
	var callers sync.WaitGroup
	var mixed, takenUp, whole atomic.Int64
	for n := range listeners {
		callers.Go(func() { p.listen(first, second, n, &mixed, &takenUp, &whole) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(streamTime)
	if p.trouble {
		p.rec.log("%s is killed; %s is ready: %t", second.name, first.name, first.isReady())
		second.kill()
	}
	time.Sleep(time.Second)
	p.cutOff(first, cutNone)
	p.rec.log("%s is cut off no more, after %s", first.name, time.Since(cutAt).Round(time.Millisecond))
	callers.Wait()
	p.rec.log("%d streams, %d taken up, %d whole; %d hold events of two software versions, %d may", listeners, takenUp.Load(), whole.Load(), mixed.Load(), allowedMixed)
	return mixed.Load() > allowedMixed, nil
}

// listen sends a stream to one instance, and takes it up at another one if its connection is closed.
func (p *play) listen(first, second *front, n int, mixed, takenUp, whole *atomic.Int64) {
	id, last := fmt.Sprintf("live-%d", n), 0
	var versions []string
	for try := range takeUpTries + 1 {
		at, attempt := second, id
		header := []string{"Model: " + modelName, names.Tokens + ": 826,290", names.Prompt + ": 5c1e07a2:119,91bd3f06:79,e4402b7d:628"}
		if try > 0 {
			at, attempt = first, fmt.Sprintf("%s-again-%d", id, try)
		}
		if last > 0 {
			header = append(header, fmt.Sprintf("Last-Event-Id: %d", last), "Resumes: "+id)
		}
		c, err := dialCaller(p.rec, at.caller)
		if err != nil {
			return
		}
		a := c.ask(attempt, http.MethodPost, "/live/x", 12000, header...)
		c.close()
		last = max(last, a.last)
		for _, v := range a.versions {
			if !slices.Contains(versions, v) {
				versions = append(versions, v)
			}
		}
		if a.status == http.StatusOK && a.err == nil {
			whole.Add(1)
			break
		}
		if last == 0 {
			return // it has not begun
		}
		if try == 0 {
			takenUp.Add(1)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if len(versions) > 1 {
		mixed.Add(1)
		p.rec.log("ORDER: stream %s holds events of the software versions %v", id, versions)
	}
}
