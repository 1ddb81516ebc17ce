package gatekeeper

import (
	"context"
	"fmt"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/upstream/detector"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// partitionInterval is how often signs of a partition are looked for.
const partitionInterval = 200 * time.Millisecond

// detectPartitions probes runners while there are signs of a partition from them, until ctx
// ends.
func (g *Gatekeeper) detectPartitions(ctx context.Context) {
	lateness := latenessMeter{period: partitionInterval}
	repeater.Every(ctx, partitionInterval, nil, func() {
		g.recordLateness(lateness.observe(time.Now()))
		if g.Fleet.Detector.Suspected(time.Now()) {
			g.probeRunners(ctx)
		}
		g.watchDetourPeers(ctx)
	})
}

// probeRunners starts the probes that are due.
func (g *Gatekeeper) probeRunners(ctx context.Context) {
	byService := make(map[string][]detector.Candidate)
	for _, r := range g.Fleet.All() {
		if !g.Fleet.Leaving(r.ID) {
			byService[r.Service] = append(byService[r.Service], detector.Candidate{ID: r.ID, Domain: r.Domain})
		}
	}
	for service, runners := range byService {
		for _, id := range g.Fleet.Detector.Probes(service, g.Config.Domain, runners, time.Now()) {
			r, _ := g.Fleet.Get(id) // if it was removed in the meantime, the probe fails
			go g.probeRunner(ctx, service, r)
		}
	}
}

func (g *Gatekeeper) probeRunner(ctx context.Context, service string, r tracker.Runner) {
	reached := g.reaches(ctx, r)
	state, changed := g.Fleet.Detector.Probed(service, reached)
	if !changed {
		return
	}
	switch state {
	case detector.Reached:
		g.Recorder.Log(recorder.View, "msg", "runners reached again", "service", service, "runner", r.ID)
		g.resumeRunners(ctx, service)
	case detector.Impaired:
		g.Recorder.Log(recorder.View, "msg", "few runners reached", "service", service, "runner", r.ID)
		g.watchDetourPeers(ctx)
	case detector.Partitioned:
		g.Recorder.Log(recorder.View, "msg", "partitioned from the runners", "service", service, "runner", r.ID)
		g.Metrics.GetOrCreateCounter("sardinetiller_runner_partitions_total").Inc()
		g.dropUndelivered(service)
		g.watchDetourPeers(ctx)
		g.Forwarder.HandlePartition(service, detector.Silence)
	}
}

// reaches probes a runner, and makes it eligible again if it answers.
func (g *Gatekeeper) reaches(ctx context.Context, r tracker.Runner) bool {
	reached := g.Engine.Reaches(ctx, r)
	g.Metrics.GetOrCreateCounter(fmt.Sprintf("sardinetiller_reach_probes_total{reached=\"%t\"}", reached)).Inc()
	if reached {
		g.Fleet.Resume(r.ID)
	}
	return reached
}

// maxResumeProbes limits the probes at the end of a partition.
const maxResumeProbes = 16

// resumeRunners probes the runners that accepted no connection during a partition. Some of them
// may still be cut off, and each request to one of those would wait for a connection.
func (g *Gatekeeper) resumeRunners(ctx context.Context, service string) {
	suspended := g.Fleet.Suspended(service, time.Now())
	for _, r := range suspended[:min(len(suspended), maxResumeProbes)] {
		go g.reaches(ctx, r)
	}
}

// dropUndelivered makes the requests that may never have reached a runner of the service no
// longer count as load there.
func (g *Gatekeeper) dropUndelivered(service string) {
	g.Fleet.DropQuietLoad(service, detector.Silence, time.Now())
	runners := make(map[string]bool)
	for _, r := range g.Fleet.All() {
		if r.Service == service {
			runners[r.ID] = true
		}
	}
	g.heldSlots.abandonAll(runners)
}
