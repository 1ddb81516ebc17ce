package orderer

import (
	"maps"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/adapter/loader"
	"github.com/sardinetiller/sardinetiller/internal/request/admitter"
)

// A Runner is one model engine as its owner drives it. The fields are set
// before use.
type Runner struct {
	Name   string
	Batch  int // requests that the engine runs at once
	Keeper *keeper.Keeper
	Queue  *admitter.Queue

	ahead   map[string]time.Time // adapters to load before they are asked for, and since when
	cold    int                  // requests finished since a cold start, up to Batch
	leaving bool                 // the engine takes no new work
	running int
}

// A Start is a request that goes to the engine now, with the copy that is
// pinned for it.
type Start struct {
	Item   admitter.Item
	Handle keeper.Handle
}

// Ahead makes an adapter wanted before a request asks for it. It is loaded when
// no load with requests waiting is before it.
func (r *Runner) Ahead(adapter string, now time.Time) {
	if r.ahead == nil {
		r.ahead = make(map[string]time.Time)
	}
	r.ahead[adapter] = now
}

// Finish gives back the pin and the place of a request.
func (r *Runner) Finish(handle keeper.Handle) {
	r.Keeper.Unpin(handle)
	r.running--
	r.cold = min(r.Batch, r.cold+1)
}

// Leave marks the engine as leaving. It takes nothing new from now on; the
// mark stays until the engine restarts.
func (r *Runner) Leave() { r.leaving = true }

// Leaving reports whether the engine takes no new work.
func (r *Runner) Leaving() bool { return r.leaving }

// Needs returns the adapters that requests wait for and that are not on their
// way.
func (r *Runner) Needs() []loader.Need {
	if r.leaving || !r.Keeper.Ready() {
		return nil
	}
	var needs []loader.Need
	place := make(map[string]int)
	for _, item := range r.Queue.Items() {
		i, ok := place[item.Adapter]
		if !ok {
			if r.Keeper.Servable(item.Adapter) || r.Keeper.Loading(item.Adapter) {
				continue
			}
			i = len(needs)
			place[item.Adapter] = i
			needs = append(needs, loader.Need{Runner: r.Name, Adapter: item.Adapter, Oldest: item.Arrived})
		}
		count(&needs[i], item)
	}
	return r.needAhead(needs)
}

// needAhead adds the adapters to load ahead that nobody waits for yet.
func (r *Runner) needAhead(needs []loader.Need) []loader.Need {
	for _, adapter := range slices.Sorted(maps.Keys(r.ahead)) {
		if r.Keeper.Servable(adapter) || r.Keeper.Loading(adapter) {
			delete(r.ahead, adapter)
			continue
		}
		waited := slices.ContainsFunc(needs, func(n loader.Need) bool { return n.Adapter == adapter })
		if !waited {
			needs = append(needs, loader.Need{Runner: r.Name, Adapter: adapter, Oldest: r.ahead[adapter]})
		}
	}
	return needs
}

// Ramp returns the part of the batch that is given out. After a cold start it
// grows with each finished request, so that an empty engine is not drowned by
// everyone who sees it idle.
func (r *Runner) Ramp() float64 {
	return float64(r.limit()) / float64(r.Batch)
}

// Reconcile takes in the engine's report. It returns whether the engine has
// restarted.
func (r *Runner) Reconcile(report keeper.Report, leaving bool) (bool, error) {
	restarted, err := r.Keeper.Reconcile(report)
	if restarted {
		r.cold = 0
		r.leaving = false
	}
	r.leaving = r.leaving || leaving
	return restarted, err
}

// Running returns how many requests run.
func (r *Runner) Running() int { return r.running }

// Stay takes Leave back. An engine that leaves by itself says so again in its
// next report.
func (r *Runner) Stay() { r.leaving = false }

// Starts returns the requests that go to the engine now.
func (r *Runner) Starts(now time.Time) []Start {
	var starts []Start
	for !r.leaving && r.running < r.limit() {
		item, ok := r.Queue.Next(func(i admitter.Item) bool { return r.Keeper.Servable(i.Adapter) })
		if !ok {
			break
		}
		handle, _ := r.Keeper.Pin(item.Adapter) // Servable was asked just now
		r.running++
		starts = append(starts, Start{Item: item, Handle: handle})
	}
	return starts
}

// Warm marks the engine as warmed up, as one that was found running is.
func (r *Runner) Warm() { r.cold = r.Batch }

// coldPart is the part of the batch that a cold engine begins with.
const coldPart = 4

func (r *Runner) limit() int {
	return min(r.Batch, max(1, r.Batch/coldPart)+r.cold)
}

func count(n *loader.Need, item admitter.Item) {
	n.Waiting++
	if item.Arrived.Before(n.Oldest) {
		n.Oldest = item.Arrived
	}
	if !item.Deadline.IsZero() && (n.Deadline.IsZero() || item.Deadline.Before(n.Deadline)) {
		n.Deadline = item.Deadline
	}
}
