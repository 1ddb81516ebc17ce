package shedder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/shedder"
)

const (
	tick     = 10 * time.Millisecond
	runTime  = 1500 * time.Millisecond // of a request, at its runner
	maxDelay = 2 * time.Second         // of a request at its instance, after which its caller gives up
)

// received is the link as far as it carries what the instance receives. What it does not carry waits where the instance cannot
// see it.
const received shedder.Resource = "received"

// A modelInstance is an instance that bears so many requests at a time of each resource. Processor and link queue what is over;
// descriptors and memory end requests, as they are used up.
type modelInstance struct {
	bears   map[shedder.Resource]int
	bound   shedder.Bound
	backlog map[shedder.Resource]time.Duration // of processor and link
	ends    []time.Time                        // of the requests in progress
}

// advance moves the time on by a tick.
func (m *modelInstance) advance(now time.Time) {
	left := m.ends[:0]
	for _, end := range m.ends {
		if now.Before(end) {
			left = append(left, end)
		}
	}
	m.ends = left
	for _, queued := range []shedder.Resource{shedder.Processor, shedder.Link, received} {
		if bears := m.bears[queued]; bears > 0 {
			use := float64(len(m.ends)) / float64(bears)
			m.backlog[queued] = max(0, m.backlog[queued]+time.Duration((use-1)*float64(tick)))
		}
	}
}

// use returns the fraction of a resource in use.
func (m *modelInstance) use(r shedder.Resource) float64 {
	if m.bears[r] == 0 {
		return 0
	}
	return float64(len(m.ends)) / float64(m.bears[r])
}

func (m *modelInstance) observe(now time.Time) {
	linkUse := min(1, m.use(received))
	if m.backlog[received] > 0 {
		linkUse = 1
	}
	m.bound.Observe(shedder.Reading{
		LinkUse: linkUse, Processor: m.backlog[shedder.Processor], Link: m.backlog[shedder.Link],
		Descriptors: m.use(shedder.Descriptors), Memory: m.use(shedder.Memory),
	}, len(m.ends), now)
}

// serve takes a request on and reports whether it is served. The queue before it is part of its time.
func (m *modelInstance) serve(now time.Time) bool {
	delay := m.backlog[shedder.Processor] + m.backlog[shedder.Link] + m.backlog[received]
	m.ends = append(m.ends, now.Add(runTime+delay))
	return delay < maxDelay && m.use(shedder.Descriptors) <= 1 && m.use(shedder.Memory) <= 1
}

// Guards against requests that are read and not served where most new connections reach one of several instances, or
// of many, which is short of one thing or another.
func TestRequestsThatAreReadAreServedWhereMostConnectionsReachOneInstance(t *testing.T) {
	for _, instances := range []int{6, 73} {
		for _, scarce := range []shedder.Resource{shedder.Processor, shedder.Link, received, shedder.Descriptors, shedder.Memory} {
			for _, excess := range []int{1, 3, 12} {
				t.Run(fmt.Sprintf("%d instances, %s, %d times what one bears", instances, scarce, excess), func(t *testing.T) {
					before, _ := playSkew(instances, scarce, excess, true)
					after, refused := playSkew(instances, scarce, excess, false)
					if after < 0.75*before {
						t.Errorf("%.3f of the requests that are read first are served, %.3f without a bound", after, before)
					}
					if after < 0.95 {
						t.Errorf("%.3f of the requests that are read first are served", after)
					}
					if refused > 1 {
						t.Errorf("%d requests were turned away twice", refused)
					}
				})
			}
		}
	}
	if unbounded, _ := playSkew(6, shedder.Processor, 12, true); unbounded > 0.5 {
		t.Errorf("%.3f is served without a bound: the test shows nothing", unbounded)
	}
}

// playSkew sends 19 of 20 new connections to one instance, with a multiple of what it bears. It returns the fraction of
// the requests read, from 4 s on, that were served at the first attempt that was read, and how many were turned away at two
// instances.
func playSkew(instances int, scarce shedder.Resource, excess int, unbounded bool) (served float64, refusedTwice int) {
	const bears = 100
	all := make([]*modelInstance, instances)
	for n := range all {
		all[n] = &modelInstance{bears: map[shedder.Resource]int{scarce: 3 * excess * bears / (instances - 1)}, backlog: make(map[shedder.Resource]time.Duration)}
	}
	all[0].bears[scarce] = bears
	rate := float64(excess*bears) / runTime.Seconds() // a second
	start := time.Now()
	due, sent, read, done := 0.0, 0, 0, 0
	for elapsed := time.Duration(0); elapsed < 12*time.Second; elapsed += tick {
		now := start.Add(elapsed)
		for _, m := range all {
			m.advance(now)
			if elapsed%readingInterval < tick && !unbounded {
				m.observe(now)
			}
		}
		for due += rate * tick.Seconds(); due >= 1; due-- {
			sent++
			target, other := all[0], all[1+sent%(instances-1)]
			if sent%20 == 0 {
				target = other
			}
			if !target.bound.Admits(len(target.ends), now) {
				target = other
				if !target.bound.Admits(len(target.ends), now) {
					refusedTwice++
					continue
				}
			}
			ok := target.serve(now)
			if elapsed >= 4*time.Second {
				read++
				if ok {
					done++
				}
			}
		}
	}
	return float64(done) / float64(max(1, read)), refusedTwice
}
