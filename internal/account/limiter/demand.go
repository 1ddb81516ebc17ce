package limiter

import "time"

const (
	// urgencyLevels is the number of urgency classes.
	urgencyLevels = 4
	// reserveHorizon is the time for which tokens are reserved for more urgent requests. What an
	// instance does not know yet of the others' spending is up to 450 ms old: a settlement (150 ms)
	// and an exchange between leaders (300 ms).
	reserveHorizon = 500 * time.Millisecond
	// floorReserveHorizon is the time for which tokens are reserved for the floors of less urgent
	// levels: between two settlements. With reserveHorizon, urgent requests of an account with few
	// tokens were refused although less urgent ones were within their floors.
	floorReserveHorizon = 150 * time.Millisecond
	// maxReserve bounds what is reserved, as a fraction of the burst. The rest remains for less
	// urgent requests that are larger than what accrues in a moment.
	maxReserve = 0.5
	// floorFraction is the fraction of its proportional part of the rate that each urgency level
	// keeps, whatever the more urgent ones ask for.
	floorFraction = 0.25
	// minLeftover is the fraction of the rate that is assumed to be left to returning callers at
	// least. Without it no return could be promised while new requests alone use up the rate.
	minLeftover = 0.1
	// statedDemand is the fraction of the rate beyond which a Ledger states the demand for a quota
	// in its balances: below it most of the rate is left to returning callers anyway.
	statedDemand = 0.5
)

// A demand is the recent rate at which tokens are asked for by urgency, in tokens a second. It
// includes requests that are refused.
type demand [urgencyLevels]float64

// covered stands for the level of a request that the floor of its level covers.
const covered = -1

// demandOf returns the demand that is stated in a balance.
func demandOf(stated []int64) (d demand) {
	for u := range min(urgencyLevels, len(stated)) {
		d[u] = float64(max(0, stated[u]))
	}
	return d
}

// Level returns the urgency class of a request's urgency.
func Level(urgency int) int { return min(max(0, urgency), urgencyLevels-1) }

// add adds another demand. Rounding errors of sums never make it negative.
func (d *demand) add(other demand, factor float64) {
	for u := range d {
		d[u] = max(0, d[u]+factor*other[u])
	}
}

// exceeds reports whether more is asked for than the rate of a limit.
func (d *demand) exceeds(l Limit) bool { return d.upTo(urgencyLevels-1) > l.Rate }

// floor returns the fraction of the tokens asked for that each level is given at least.
func (d *demand) floor(l Limit) float64 { return floorFraction * l.Rate / d.upTo(urgencyLevels-1) }

// leftover returns the rate that requests of an urgency level and more urgent ones leave to
// returning callers of that level.
func (d *demand) leftover(level int, l Limit) float64 {
	return max(l.Rate-d.upTo(level), minLeftover*l.Rate)
}

// reserve returns the tokens that a request of an urgency level must leave to others: what more
// urgent requests ask for, and the floors of less urgent ones. Without the latter, floors would be
// used up where the more urgent requests alone exceed the rate. Nothing is reserved while no more
// is asked for than the rate, and from requests of the level covered.
func (d *demand) reserve(level int, l Limit) float64 {
	if level == covered || !d.exceeds(l) {
		return 0
	}
	lessUrgent := d.upTo(urgencyLevels-1) - d.upTo(level)
	tokens := d.upTo(level-1)*reserveHorizon.Seconds() + d.floor(l)*lessUrgent*floorReserveHorizon.Seconds()
	return min(tokens, maxReserve*l.Burst)
}

// stated returns the demand as stated in a Balance; nil if it is low.
func (d *demand) stated(l Limit) []int64 {
	if d.upTo(urgencyLevels-1) <= statedDemand*l.Rate {
		return nil
	}
	stated := make([]int64, urgencyLevels)
	for u := range d {
		stated[u] = int64(d[u])
	}
	return stated
}

// upTo returns the demand of a level and all more urgent ones.
func (d *demand) upTo(level int) float64 {
	sum := 0.0
	for u := range level + 1 {
		sum += d[u]
	}
	return sum
}

// fitsReserve reports whether a request leaves the reserved tokens. One that is larger than the
// rest of the burst is admitted when the burst is full.
func fitsReserve(tokens int64, left, reserved float64, l Limit) bool {
	need := float64(tokens) + reserved
	return reserved == 0 || need <= left || need > l.Burst && left >= almostFull*l.Burst
}
