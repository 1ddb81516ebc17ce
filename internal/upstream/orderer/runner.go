package orderer

import (
	"maps"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/adapter/loader"
	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
)

// A Runner is one model engine as its owner schedules it. The exported fields are
// set before use.
type Runner struct {
	Name   string
	Batch  int // concurrent requests of the engine
	Keeper *keeper.Keeper
	Queue  *admitter.Queue

	preload            map[string]time.Time // adapters to preload, and when that was requested
	finishedSinceStart int                  // requests finished since the engine started, up to Batch
	leaving            bool                 // the engine accepts no new requests
	running            int                  // requests in progress
}

// A Start is a request to send to the engine now, with the copy that is pinned
// for it.
type Start struct {
	Item   admitter.Item
	Handle keeper.Handle
}

// Preload requests the preload of an adapter that no request needs yet. It has the
// priority of a load for which no request waits.
func (r *Runner) Preload(adapter string, now time.Time) {
	if r.preload == nil {
		r.preload = make(map[string]time.Time)
	}
	r.preload[adapter] = now
}

// Finish releases the pin and the request slot of a request.
func (r *Runner) Finish(handle keeper.Handle) {
	r.Keeper.Unpin(handle)
	r.running--
	r.finishedSinceStart = min(r.Batch, r.finishedSinceStart+1)
}

// Leave marks the engine as draining: it gets no new requests until it restarts or
// Stay is called.
func (r *Runner) Leave() { r.leaving = true }

// Leaving reports whether the engine is draining.
func (r *Runner) Leaving() bool { return r.leaving }

// Needs returns the adapters to load: those that requests wait for and that are
// neither servable nor being loaded, then those to preload.
func (r *Runner) Needs() []loader.Need {
	if r.leaving || !r.Keeper.Ready() {
		return nil
	}
	var needs []loader.Need
	index := make(map[string]int)
	for _, item := range r.Queue.Items() {
		i, ok := index[item.Adapter]
		if !ok {
			if r.Keeper.Servable(item.Adapter) || r.Keeper.Loading(item.Adapter) {
				continue
			}
			i = len(needs)
			index[item.Adapter] = i
			needs = append(needs, loader.Need{Runner: r.Name, Adapter: item.Adapter, Oldest: item.Arrived})
		}
		addWaiting(&needs[i], item)
	}
	return r.appendPreloads(needs)
}

// appendPreloads appends the adapters to preload that no request waits for yet.
func (r *Runner) appendPreloads(needs []loader.Need) []loader.Need {
	for _, adapter := range slices.Sorted(maps.Keys(r.preload)) {
		if r.Keeper.Servable(adapter) || r.Keeper.Loading(adapter) {
			delete(r.preload, adapter)
			continue
		}
		requested := slices.ContainsFunc(needs, func(n loader.Need) bool { return n.Adapter == adapter })
		if !requested {
			needs = append(needs, loader.Need{Runner: r.Name, Adapter: adapter, Oldest: r.preload[adapter]})
		}
	}
	return needs
}

// Ramp returns the fraction of the batch that may be used. After an engine start
// it grows with each finished request, so that an idle engine is not overloaded by
// all instances that choose it at once.
func (r *Runner) Ramp() float64 {
	return float64(r.batchLimit()) / float64(r.Batch)
}

// Reconcile applies a report of the engine. It returns whether the engine has
// restarted.
func (r *Runner) Reconcile(report keeper.Report, leaving bool) (bool, error) {
	restarted, err := r.Keeper.Reconcile(report)
	if restarted {
		r.finishedSinceStart = 0
		r.leaving = false
	}
	r.leaving = r.leaving || leaving
	return restarted, err
}

// Running returns the number of requests in progress.
func (r *Runner) Running() int { return r.running }

// Stay reverts Leave. An engine that drains on its own reports that again in its
// next report.
func (r *Runner) Stay() { r.leaving = false }

// Starts dequeues and pins the requests to send to the engine now.
func (r *Runner) Starts(now time.Time) []Start {
	var starts []Start
	for !r.leaving && r.running < r.batchLimit() {
		item, ok := r.Queue.Next(func(i admitter.Item) bool { return r.Keeper.Servable(i.Adapter) })
		if !ok {
			break
		}
		handle, _ := r.Keeper.Pin(item.Adapter) // Servable has just returned true
		r.running++
		starts = append(starts, Start{Item: item, Handle: handle})
	}
	return starts
}

// Warm marks the engine as warmed up, for example one that was already running when
// it was discovered.
func (r *Runner) Warm() { r.finishedSinceStart = r.Batch }

// initialBatchDivisor divides the batch to give the limit for an engine that has just
// started.
const initialBatchDivisor = 4

func (r *Runner) batchLimit() int {
	return min(r.Batch, max(1, r.Batch/initialBatchDivisor)+r.finishedSinceStart)
}

// addWaiting adds a waiting request to a need.
func addWaiting(n *loader.Need, item admitter.Item) {
	n.Waiting++
	if item.Arrived.Before(n.Oldest) {
		n.Oldest = item.Arrived
	}
	if !item.Deadline.IsZero() && (n.Deadline.IsZero() || item.Deadline.Before(n.Deadline)) {
		n.Deadline = item.Deadline
	}
}
