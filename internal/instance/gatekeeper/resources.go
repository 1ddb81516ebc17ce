package gatekeeper

import (
	"context"
	"math"
	"runtime/metrics"
	"sync"
	"syscall"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/prober"
	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/request/shedder"
	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

const (
	// readingInterval is how often the use of resources is read. It spans several periods of a scheduler
	// that enforces a share of a processor, which are of 100 ms.
	readingInterval = 300 * time.Millisecond
	// probeInterval is the time between two probes of the processor while there are requests.
	probeInterval = 40 * time.Millisecond
	// shortLogInterval is how often an instance logs that it is short of a resource, while it is.
	shortLogInterval = time.Second
)

// resources holds what is needed to read how far the resources of this instance are used.
type resources struct {
	descriptors int // that the process may have open; 0 if unknown
	link        shedder.LinkQueue
	linkUse     shedder.LinkUse
	loggedAt    time.Time
	processor   prober.Prober
}

// watchResources reads the use of the resources until ctx ends.
func (g *Gatekeeper) watchResources(ctx context.Context) {
	bandwidth := g.Config.Link.BytesPerSecond()
	r := resources{
		descriptors: descriptorLimit(), link: shedder.LinkQueue{Bandwidth: bandwidth}, linkUse: shedder.LinkUse{Bandwidth: bandwidth},
		processor: prober.Prober{Interval: probeInterval, Needed: func() bool { return g.requestCount() > 0 }},
	}
	var probes sync.WaitGroup
	defer probes.Wait()
	probes.Go(func() {
		if err := r.processor.Run(ctx); err != nil {
			g.Recorder.Log(recorder.Lifecycle, "msg", "the wait for the processor is not known", "err", err)
		}
	})
	repeater.Every(ctx, readingInterval, nil, func() { g.observeResources(&r, time.Now()) })
}

// observeResources reads, records and logs the use of the resources.
func (g *Gatekeeper) observeResources(r *resources, now time.Time) {
	reading := g.readResources(r, now)
	g.Metrics.GetOrCreateHistogram("sardinetiller_processor_wait_seconds").Update(reading.Processor.Seconds())
	g.Metrics.GetOrCreateHistogram("sardinetiller_link_wait_seconds").Update(reading.Link.Seconds())
	requests := g.requestCount()
	g.bound.Observe(reading, requests, now)
	limit, short := g.bound.Limit()
	if limit > 0 {
		g.callers.ForgetSilent()
	}
	if short == shedder.Descriptors || short == shedder.Memory {
		g.callers.CloseUnused(listener.ClosedOverload)
	}
	if short == shedder.None || now.Sub(r.loggedAt) < shortLogInterval {
		return
	}
	r.loggedAt = now
	g.Recorder.Log(recorder.Lifecycle, "msg", "short of a resource", "resource", short, "processor", reading.Processor, "probe", reading.Probe, "link", reading.Link, "linkuse", reading.LinkUse,
		"descriptors", reading.Descriptors, "memory", reading.Memory, "requests", requests, "limit", limit, "connections", g.callers.Open())
}

// readResources reads the use of the resources since the last call.
func (g *Gatekeeper) readResources(r *resources, now time.Time) shedder.Reading {
	reading := shedder.Reading{Isolated: g.Fleet.Detector.Isolated() && g.detourer.Alone(now)}
	reading.Processor = r.processor.Take(now)
	reading.Probe = r.processor.Fastest()
	reading.Link = r.link.Observe(g.callers.Sent()+g.Pool.Sent(), now)
	reading.LinkUse = r.linkUse.Observe(g.callers.Received()+g.Pool.Received(), now)
	if r.descriptors > 0 {
		reading.Descriptors = float64(g.callers.Open()+g.Pool.Open()) / float64(r.descriptors)
	}
	if limit := g.Config.Memory; limit > 0 {
		reading.Memory = memoryInUse() / (float64(limit) * (1 << 20))
	}
	return reading
}

// descriptorLimit returns the number of file descriptors that this process may have open; 0 if it is unknown.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// memoryInUse returns the bytes of memory that the runtime holds.
func memoryInUse() float64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	total := 0.0
	for n, sign := range []float64{1, -1} {
		if samples[n].Value.Kind() == metrics.KindUint64 {
			total += sign * float64(samples[n].Value.Uint64())
		}
	}
	return total
}
