package router

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Router chooses runners. Its fields are set before use; the times are estimates that the
// instance keeps up to date.
type Router struct {
	Policy        Policy
	LoadTime      time.Duration // expected time of a load, including its wait for the weight store
	ExecutionTime time.Duration // expected execution time of a request
}

const (
	// evictPenalty is the cost of evicting another adapter, as a fraction of a load: that
	// adapter will soon be loaded again with about this probability.
	evictPenalty = 0.5
	// loadingFraction is the fraction of a load that remains on average once it has
	// started.
	loadingFraction = 0.5
	// rendezvousCost is the largest cost that a runner's rendezvous hash adds, in seconds.
	// It is small compared with any real difference, and makes instances with the same view
	// choose the same runner for an adapter that is resident nowhere, so that it is loaded
	// only once.
	rendezvousCost = 0.02
	// maxUrgency limits how much a near deadline raises the weight of waiting.
	maxUrgency = 4
)

// Choose returns the terms of all candidates, best first.
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

// A fleetState summarizes all candidates, for comparison with a single one.
type fleetState struct {
	available   bool    // some runner holds the adapter, is loading it, or held it before
	meanRunning float64 // requests per runner
}

// hasCopy reports whether the runner needs no fetch from the weight store.
func hasCopy(c Candidate) bool { return c.Resident || c.Loading || c.HeldBefore }

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
	waiting := (t.Stall + t.Queue) * r.urgency(request.TimeLeft)
	t.Total = p.StallWeight*waiting + p.BatchWeight*t.Empty*r.ExecutionTime.Seconds() + rendezvousCost*rank
	return t
}

const (
	// failureCost is the cost of a failed request in seconds: about the time until the
	// caller has noticed and retried.
	failureCost = 2
	// coldRendezvousCost is the largest cost, in seconds, that a runner's rendezvous hash
	// adds if the runner would have to fetch the adapter from the weight store. All
	// instances then load an adapter on the same runner, which reloads an adapter that it
	// held before in a tenth of the time; only a backlog of this order moves the load
	// elsewhere. With lower values, runners with few adapter slots fetch more from the
	// weight store and respond in time less often.
	coldRendezvousCost = 0.8
)

const (
	// imbalanceCost is the cost, in seconds, of a runner having as many requests above the
	// mean as the mean itself. Prefill of their prompts delays all requests running there;
	// at this cost a popular adapter gets a second copy before the runner of the first one
	// is at its limits. Without it, one runner had most of the long gaps. It is not higher
	// because on runners with few adapter slots each additional copy is expensive.
	imbalanceCost = 0.08
	// imbalanceTolerance is how far above the mean a runner may be at no cost, as a factor.
	imbalanceTolerance = 1.3
)

// meanRunning returns the mean number of running requests of the candidates.
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

// congestionCost is the cost of delaying the requests running on a runner, in seconds: each
// has longer gaps between its events, which is worth a short wait or a hop to another
// failure domain, but not a fetch. The limit on these gaps is enforced where prompts are
// delayed.
const congestionCost = 0.05

// extraCopyCost is how much later, in seconds, a runner that holds or is loading the
// adapter may respond than one that would have to load one more copy of it. Each copy takes
// an adapter slot from another adapter, and weight store bandwidth from the loads that wait
// for it.
const extraCopyCost = 0.03

// duplicateFetchCost is the same for a copy that has to be fetched from the weight store
// although some runner holds the adapter, is loading it, or held it before. A fetch occupies an adapter
// slot for a quarter of a second, delays first loads of other adapters, and is billed,
// while a request that waits a third of its latency target at the runner with the adapter
// is still on time. With 0.03, two of five fetches of a calm day on runners with five slots
// were of adapters that another runner had; with 0.3, 1 to 2 more requests in 100 were
// answered in time there, and no fewer on runners with thirty slots. Values from 0.2 to 0.4 made no
// visible difference.
const duplicateFetchCost = 0.3

// firstToken estimates the time to the first token.
func (r *Router) firstToken(p FirstToken, request Request, c *Candidate, rank float64, f fleetState) Terms {
	t := Terms{
		Absent: !c.Resident && !c.Loading, Congested: c.Congested, Runner: c.Runner, Queue: c.Backlog.Seconds(), Stall: c.ReadyIn.Seconds(),
	}
	t.Total = max(t.Queue, t.Stall) + c.Own.Seconds() + failureCost*c.Failing
	switch {
	case request.Adapter == "" || c.Resident || c.Loading:
	case c.HeldBefore:
		t.Total += extraCopyCost
	case f.available:
		t.Total += coldRendezvousCost*weightedRank(rank, c.UsualFactor) + duplicateFetchCost
	default:
		t.Total += coldRendezvousCost*weightedRank(rank, c.UsualFactor) + extraCopyCost
	}
	if c.OtherDomain {
		t.Total += p.CrossDomain
	}
	t.Total += imbalanceCost * max(0, (float64(c.Running)+1)/(f.meanRunning+1)-imbalanceTolerance)
	if c.Congested {
		t.Total += congestionCost
	}
	return t
}

// terms distinguishes only runners that fail often or are in another failure domain.
func (p Spread) terms(c *Candidate) Terms {
	t := Terms{Runner: c.Runner, Queue: c.Backlog.Seconds(), Total: failureCost*c.Failing + p.CrossDomain*p.Draw()}
	if c.OtherDomain {
		t.Total += p.CrossDomain
	}
	return t
}

// SpareRunner returns the best runner that could load one more copy of the adapter. ok is
// false if there is none, or if some runner is already loading a copy.
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

// queue estimates the wait for a slot in the batch.
func (r *Router) queue(c *Candidate) float64 {
	batch := effectiveBatch(c)
	ahead := float64(c.Running+c.Waiting+c.Sent+1) - batch
	if ahead <= 0 {
		return 0
	}
	return ahead / batch * r.ExecutionTime.Seconds()
}

// stall estimates the wait for the adapter.
func (r *Router) stall(c *Candidate) float64 {
	load := (c.LoadWait + r.LoadTime).Seconds()
	switch {
	case c.Resident:
		return 0
	case c.Loading:
		return loadingFraction * load
	case c.Free > 0:
		return load
	default:
		return load + evictPenalty*r.LoadTime.Seconds()
	}
}

// urgency returns the weight of waiting: it is 1 far from the deadline and grows as the
// time left shrinks towards the time that a load and an execution take.
func (r *Router) urgency(left time.Duration) float64 {
	if left <= 0 {
		return 1
	}
	need := (r.LoadTime + r.ExecutionTime).Seconds()
	return 1 + min(maxUrgency, need/left.Seconds())
}

func effectiveBatch(c *Candidate) float64 {
	return max(1, float64(c.Batch)*c.Ramp)
}

// idleFraction returns the fraction of an engine step that stays unused with this request
// added.
func idleFraction(c *Candidate) float64 {
	fill := float64(c.Running+c.Waiting+c.Sent+1) / effectiveBatch(c)
	return max(0, 1-fill)
}

// weightedRank returns the rank of a runner whose hash is u, from 0 to 1. The probability that a
// runner has the lowest rank is proportional to its usual speed, 1/factor. A factor of 0 stands
// for an unknown one.
func weightedRank(u, factor float64) float64 {
	if factor == 0 || factor == 1 {
		return u
	}
	return 1 - math.Pow(1-u, factor)
}

func rendezvousHash(adapter, runner string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(adapter)
	_, _ = d.WriteString("|")
	_, _ = d.WriteString(runner)
	return d.Sum64()
}
