// Package prober measures for how long this process leaves work that is ready undone.
//
// A probe is a goroutine that gives way to all others and then sends the process a byte through the kernel. Two
// times of it are taken, as either may be short though work is left over:
//
//   - The mean time from the beginning of a probe until its byte is read, which grows with the queue of goroutines. It may be
//     short in a process of many threads that is stopped after a moment and never catches up.
//   - The shortest time from when a probe was due until its byte is read, which is long if the process stood still
//     whenever one was due. A process that has a share of a processor stands still at times without being short of it.
//
// The runtime's own histogram of waits does not serve: it counts a wait when it has ended, and most of what it counts are
// goroutines that wake each other.
package prober

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/pacer"
)

// A Prober probes this process from time to time. Its fields are set before Run; it is safe for concurrent
// use.
type Prober struct {
	Interval time.Duration // between two probes
	Needed   func() bool   // whether to probe now; nil: always

	mu      sync.Mutex
	probing bool
	due     time.Time     // when the probe in progress was to begin
	began   time.Time     // when it began
	ended   int           // probes since the last call of Take
	fastest time.Duration // shortest time of a probe that has ended; 0 before
	least   time.Duration // shortest time from when one was due to its end
	sum     time.Duration // of the times from when they began to their ends
}

// Run probes until ctx ends. It returns an error if the process cannot send itself anything.
func (p *Prober) Run(ctx context.Context) error {
	echo, err := newEcho()
	if err != nil {
		return err
	}
	defer echo.close()
	for {
		due := time.Now().Add(p.Interval)
		if !pacer.Sleep(ctx, p.Interval) {
			return nil
		}
		if p.Needed != nil && !p.Needed() {
			continue
		}
		p.begin(due, time.Now())
		runtime.Gosched()
		err := echo.send()
		p.end(time.Now())
		if err != nil {
			return err
		}
	}
}

func (p *Prober) begin(due, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing, p.due, p.began = true, due, now
}

func (p *Prober) end(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if late := now.Sub(p.due); p.ended == 0 || late < p.least {
		p.least = late
	}
	took := now.Sub(p.began)
	if p.fastest == 0 || took < p.fastest {
		p.fastest = took
	}
	p.sum += took
	p.ended++
	p.probing = false
}

// Fastest returns the shortest time that a probe has taken so far: what it takes while nothing waits. It shows how fast the
// processor is. It is 0 before the first probe has ended.
func (p *Prober) Fastest() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fastest
}

// Take returns for how long work was left undone since the last call. A probe in progress counts with the time that it
// has taken so far. It is 0 if there was no probe.
func (p *Prober) Take(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	probes, sum, least := p.ended, p.sum, p.least
	if p.probing {
		sum += now.Sub(p.began)
		probes++
		if p.ended == 0 {
			least = now.Sub(p.due)
		}
	}
	p.ended, p.sum, p.least = 0, 0, 0
	if probes == 0 {
		return 0
	}
	return max(least, sum/time.Duration(probes))
}
