package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/scheduler"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A fallbackQueues holds the queues that this instance keeps for itself while no leader answers.
// Its zero value is ready.
type fallbackQueues struct {
	mu     sync.Mutex
	queues map[string]*admissionQueue // by runner
}

// enqueueFallback lets a request wait in a queue of this instance for its runner. Each
// instance uses its share of the runner, so that they do not send all requests at once while the
// leader is away. deadline is when the time limit of the request ends.
func (g *Gatekeeper) enqueueFallback(ctx context.Context, request forwarder.ReserveRequest, deadline time.Time) (forwarder.Reservation, *judge.Error, bool) {
	now := time.Now()
	left := deadline.Sub(now)
	if left <= 0 {
		return forwarder.Reservation{}, judge.Refuse(judge.ReasonQueue, "no leader answered in time").WithRetryAfter(request.Timeout), true
	}
	runner, known := g.Fleet.Get(request.Runner)
	if !known {
		return forwarder.Reservation{}, nil, false // the caller chooses again
	}
	g.countAdmission("fallback", request.Priority)
	e := scheduler.Entry{
		Account: request.Account, Instances: g.domainInstances(), Priority: request.Priority, Tokens: request.Tokens,
		Prompt: admitter.Prompt{MaxGap: request.MaxGap, PrefillTime: g.Fleet.PrefillTimeAt(runner, request.Tokens, now), Share: fallbackShare, Timeout: left - request.Extension, Extension: request.Extension},
	}
	reserved, place, err := g.fallback.admit(g, runner, e, now)
	return g.await(ctx, request, reserved, place, err)
}

// fallbackShare is the share of the time that a runner may spend on prefill while no leader
// measures it. The share of one instance is small already: with the initial share of one half,
// the second prompt for a runner within 0.8 s would be refused in a domain of 15 instances.
const fallbackShare = 1

// domainInstances returns the approximate number of instances of a failure domain.
func (g *Gatekeeper) domainInstances() int {
	domains := len(g.domains())
	return max(1, (g.Members()+domains-1)/domains)
}

// admit offers an entry to the queue of a runner.
func (f *fallbackQueues) admit(g *Gatekeeper, runner tracker.Runner, e scheduler.Entry, now time.Time) (relayer.Reserved, *ticket, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	queue, ok := f.queues[runner.ID]
	if !ok {
		f.prune(g)
		queue = &admissionQueue{}
		f.queues[runner.ID] = queue
	}
	o := queueOwner{gatekeeper: g, lock: &f.mu, runner: runner.ID, refresh: func() error {
		if g.StoppingSoon() {
			return judge.Refuse(judge.ReasonStopping, "the instance ends before it is the turn of the request")
		}
		used := g.Fleet.Occupancy(runner.ID)
		age := time.Duration(0) // of the loads of others
		if l, ok := g.links[runner.Domain]; ok {
			age = l.sinceUpdate()
		}
		queue.Slots = scheduler.Slots{Known: used.Own, Reported: used.Others, ReportAge: age, RunTime: used.RunTime, Total: used.Slots}
		return nil
	}}
	if err := o.refresh(); err != nil {
		return relayer.Reserved{}, nil, err
	}
	return queue.admit(o, e, now)
}

// prune drops the queues of runners that are no longer known.
func (f *fallbackQueues) prune(g *Gatekeeper) {
	if f.queues == nil {
		f.queues = make(map[string]*admissionQueue)
	}
	for id, queue := range f.queues {
		if _, known := g.Fleet.Get(id); !known && queue.Len() == 0 {
			delete(f.queues, id)
		}
	}
}

// waiting returns how many entries of a priority wait.
func (f *fallbackQueues) waiting(priority int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, queue := range f.queues {
		n += queue.Waiting(priority)
	}
	return n
}
