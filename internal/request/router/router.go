package router

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Router chooses runners. The fields are set before use; the times are
// estimates that the instance keeps up to date.
type Router struct {
	Policy  Policy
	Load    time.Duration // expected time of one load, with its wait for the weight store
	Service time.Duration // expected time that a request runs
}

const (
	// evictPenalty is the part of a load that giving up another adapter costs:
	// it will be loaded again with about this probability soon.
	evictPenalty = 0.5
	// loadingFraction is the part of a load still to wait for when it has begun.
	loadingFraction = 0.5
	// rendezvousCost is the largest cost in seconds that a runner's rank for the
	// adapter adds. It is small beside any real difference; its use is that
	// instances with the same view choose the same runner for a cold adapter,
	// so that it is loaded once.
	rendezvousCost = 0.02
	// maxUrgency bounds how much a near deadline raises the weight of waiting.
	maxUrgency = 4
)

// Choose returns the candidates' terms, best first. It returns none if there
// is no candidate.
func (r *Router) Choose(request Request, candidates []Candidate) []Terms {
	f := fleetState{meanRunning: meanRunning(candidates), available: slices.ContainsFunc(candidates, hasCopy)}
	terms := make([]Terms, 0, len(candidates))
	for i := range candidates {
		terms = append(terms, r.terms(request, &candidates[i], f))
	}
	slices.SortFunc(terms, func(a, b Terms) int {
		switch {
		case a.Total < b.Total:
			return -1
		case a.Total > b.Total:
			return 1
		default:
			return 0
		}
	})
	return terms
}

// A field is what a candidate is compared with.
type fleetState struct {
	available   bool    // some runner has the adapter, gets it, or kept it
	meanRunning float64 // requests at a runner
}

// hasCopy reports whether a runner needs no fetch from the weight store.
func hasCopy(c Candidate) bool { return c.Resident || c.Loading || c.Kept }

func (r *Router) terms(request Request, c *Candidate, f fleetState) Terms {
	rank := float64(rendezvousHash(request.Adapter, c.Runner)) / math.MaxUint64
	switch p := r.Policy.(type) {
	case Cost:
		return r.cost(p, request, c, rank)
	case FirstToken:
		return r.firstToken(p, request, c, rank, f)
	case Spread:
		return p.terms(c)
	case Hash:
		return Terms{Runner: c.Runner, Total: rank}
	case Least:
		return Terms{Runner: c.Runner, Total: float64(c.Running+c.Waiting+c.Sent) + rank/2}
	default:
		panic("router: unknown policy")
	}
}

func (r *Router) cost(p Cost, request Request, c *Candidate, rank float64) Terms {
	t := Terms{Runner: c.Runner}
	t.Stall = r.stall(c)
	t.Queue = r.queue(c)
	t.Empty = idleFraction(c)
	waiting := (t.Stall + t.Queue) * r.urgency(request.Left)
	t.Total = p.Stall*waiting + p.Batch*t.Empty*r.Service.Seconds() + rendezvousCost*rank
	return t
}

const (
	// failureCost is what a failed request costs in seconds: about the time
	// until a caller has found out and come back.
	failureCost = 2
	// coldRendezvousCost spreads the runners of an adapter that is resident nowhere over
	// this many seconds by rank. All instances then load it on the same runner,
	// which fetches an adapter that it held before in a tenth of the time; only
	// a backlog of this order sends it elsewhere. At less, runners with few places
	// fetch more from the weight store and answer less in time.
	coldRendezvousCost = 0.8
)

const (
	// imbalanceCost is what it costs, in seconds, that a runner has as many requests
	// more than the mean as the mean is. Reading their prompts makes all its runs
	// pause; at this price a much wanted adapter gets a second copy before the
	// first one's runner is at its bounds. Without it one runner
	// had most of the pauses. On runners with few places each copy more is paid for
	// dearly, so it is not higher.
	imbalanceCost = 0.08
	// imbalanceTolerance is how far above the mean a runner may be at no cost.
	imbalanceTolerance = 1.3
)

// meanRunning returns how many requests the candidates have on average.
func meanRunning(candidates []Candidate) float64 {
	if len(candidates) == 0 {
		return 0
	}
	sum := 0
	for i := range candidates {
		sum += candidates[i].Running
	}
	return float64(sum) / float64(len(candidates))
}

// congestionCost is what holding up the runs of a runner costs, in seconds: each of
// them pauses longer between its events, so it is worth a short wait or a way to
// another failure domain, but not a fetch. How much runs bear is looked after where
// prompts are held back.
const congestionCost = 0.05

// extraCopyCost is how much later, in seconds, a runner that holds the adapter, or
// gets it already, may answer than one that would have to load one more copy of
// it. Each copy takes a place from another adapter and a share of the weight
// store from whoever waits for one.
const extraCopyCost = 0.03

// duplicateFetchCost is the same for a copy that has to be fetched from the weight store
// although a runner has the adapter, gets it, or kept it. A fetch holds a place for
// a quarter of a second, takes the store from a first load, and is paid for; a
// request that waits a third of its goal at the runner that has the adapter is on
// time all the same. With 0.03, two of five fetches of a calm day on runners with
// five places were of adapters that another runner had; 0.3 answered 1 to 2
// requests in 100 more in time there, and none fewer on runners with thirty. From
// 0.2 to 0.4 it made no difference that was seen.
const duplicateFetchCost = 0.3

// firstToken estimates the time to the first token.
func (r *Router) firstToken(p FirstToken, request Request, c *Candidate, rank float64, f fleetState) Terms {
	t := Terms{
		Absent: !c.Resident && !c.Loading, Crowded: c.Crowded, Runner: c.Runner, Queue: c.Backlog.Seconds(), Stall: c.Ready.Seconds(),
	}
	t.Total = max(t.Queue, t.Stall) + failureCost*c.Failing
	switch {
	case request.Adapter == "" || c.Resident || c.Loading:
	case c.Kept:
		t.Total += extraCopyCost
	case f.available:
		t.Total += coldRendezvousCost*rank + duplicateFetchCost
	default:
		t.Total += coldRendezvousCost*rank + extraCopyCost
	}
	if c.Away {
		t.Total += p.CrossDomain
	}
	t.Total += imbalanceCost * max(0, (float64(c.Running)+1)/(f.meanRunning+1)-imbalanceTolerance)
	if c.Crowded {
		t.Total += congestionCost
	}
	return t
}

// terms tells only runners apart that answer badly or are far away.
func (p Spread) terms(c *Candidate) Terms {
	t := Terms{Runner: c.Runner, Queue: c.Backlog.Seconds(), Total: failureCost*c.Failing + p.CrossDomain*p.Draw()}
	if c.Away {
		t.Total += p.CrossDomain
	}
	return t
}

// SpareRunner returns the best runner that could hold one more copy of the adapter.
// ok is false if there is none, or if a copy is on its way to some runner.
func SpareRunner(terms []Terms) (runner string, ok bool) {
	for _, t := range terms {
		switch {
		case t.Absent && !ok:
			runner, ok = t.Runner, true
		case !t.Absent && t.Stall > 0:
			return "", false
		}
	}
	return runner, ok
}

// queue estimates the wait for a place in the batch.
func (r *Router) queue(c *Candidate) float64 {
	batch := effectiveBatch(c)
	ahead := float64(c.Running+c.Waiting+c.Sent+1) - batch
	if ahead <= 0 {
		return 0
	}
	return ahead / batch * r.Service.Seconds()
}

// stall estimates the wait for the adapter.
func (r *Router) stall(c *Candidate) float64 {
	load := (c.Wait + r.Load).Seconds()
	switch {
	case c.Resident:
		return 0
	case c.Loading:
		return loadingFraction * load
	case c.Free > 0:
		return load
	default:
		return load + evictPenalty*r.Load.Seconds()
	}
}

// urgency is 1 far from the deadline and grows as the time left shrinks
// towards what a load and a run take.
func (r *Router) urgency(left time.Duration) float64 {
	if left <= 0 {
		return 1
	}
	need := (r.Load + r.Service).Seconds()
	return 1 + min(maxUrgency, need/left.Seconds())
}

func effectiveBatch(c *Candidate) float64 {
	return max(1, float64(c.Batch)*c.Ramp)
}

// idleFraction is the part of the engine's step that stays unused with this request
// on it.
func idleFraction(c *Candidate) float64 {
	fill := float64(c.Running+c.Waiting+c.Sent+1) / effectiveBatch(c)
	return max(0, 1-fill)
}

func rendezvousHash(adapter, runner string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(adapter)
	_, _ = d.WriteString("|")
	_, _ = d.WriteString(runner)
	return d.Sum64()
}
