package limiter

import "time"

// floorHorizon bounds how far the floor of an urgency level may be in arrears, besides two
// requests. It outlasts a few balances; more would be made up for at the expense of more urgent
// requests.
const floorHorizon = time.Second

// An urgencyState is one instance's state of an account's quota by urgency.
type urgencyState struct {
	asked   [urgencyLevels]int64   // tokens of all requests, admitted or not
	own     [urgencyLevels]meter   // the same as a rate
	credit  [urgencyLevels]float64 // tokens of the floor of each level that it has not been given
	pending [urgencyLevels]int64   // tokens of requests for which a Ledger has been asked
	demand  demand                 // of all instances, as of the latest balance
	excess  [urgencyLevels]excess
	returns *returnSchedule // nil: nobody was refused yet
}

// admitted counts a request that is admitted.
func (u *urgencyState) admitted(r Request) {
	n := Level(r.Urgency)
	u.credit[n] = max(0, u.credit[n]-float64(r.Tokens))
	if u.returns != nil {
		u.returns.admitted++
	}
}

// ask counts a request, and credits its level with its floor.
func (u *urgencyState) ask(r Request, now time.Time) {
	n := Level(r.Urgency)
	if u.returns != nil {
		u.returns.advance(now)
	}
	if r.Repeated {
		return
	}
	tokens := float64(r.Tokens)
	u.asked[n] += r.Tokens
	u.own[n].add(tokens, now)
	if u.demand.exceeds(r.Limit) {
		floor := u.demand.floor(r.Limit)
		limit := max(2*tokens, floor*u.own[n].rate*floorHorizon.Seconds())
		u.credit[n] = max(u.credit[n], min(u.credit[n]+floor*tokens, limit))
	}
}

// estimate replaces the demand that a Ledger stated. What is asked for here is assumed to be the
// instance's share of what is asked for at all instances.
func (u *urgencyState) estimate(share float64, l Limit, now time.Time) {
	var d demand
	for n := range d {
		d[n] = u.own[n].value(now) / share
	}
	u.setDemand(d, l, now)
}

// leftover returns the rate that is left to returning callers of a level. During an excess it is
// what more urgent requests leave once the excess of the level ends.
func (u *urgencyState) leftover(level int, l Limit) float64 {
	if u.excess[level].isCurrent {
		level--
	}
	return u.demand.leftover(level, l)
}

// level returns the level by which the reserve for a request is computed. The credit of a level
// covers each of several concurrent requests only once.
func (u *urgencyState) level(r Request) int {
	n := Level(r.Urgency)
	if u.credit[n] >= float64(u.pending[n]+r.Tokens) {
		return covered
	}
	return n
}

// refuse refuses a request, and schedules the return of its caller at the rate that new requests
// leave over, of which the instance has a share. left is a fraction of the tokens left of the
// quota: the share of the instance while no Ledger can be reached. During an excess nobody returns
// before a short one would have ended: until then new requests use up the rate.
func (u *urgencyState) refuse(r Request, left, fraction, share float64, now time.Time) QuotaExceeded {
	if u.returns == nil {
		u.returns = &returnSchedule{}
	}
	n := Level(r.Urgency)
	reserved := fraction * u.reserved(r)
	leftover := u.leftover(n, r.Limit)
	missing := max(0, min(float64(r.Tokens)+reserved, max(fraction*r.Limit.Burst, float64(r.Tokens)))-left)
	earliest := time.Duration(min(missing/(fraction*leftover), maxWait.Seconds()) * float64(time.Second))
	if e := &u.excess[n]; e.isCurrent {
		earliest = max(earliest, e.since.Add(longExcess).Sub(now))
	}
	u.returns.advance(now)
	u.returns.refused++
	exceeded := QuotaExceeded{AvailableIn: maxWait, ByReserve: reserved > 0 && fits(r.Tokens, left, r.Limit), Reserved: int64(reserved)}
	if !u.excess[n].isLong(now) {
		exceeded.AvailableIn = u.returns.promise(float64(r.Tokens), n, share*leftover, earliest, now)
	}
	return exceeded
}

// reserved returns the tokens that a request must leave to other urgencies.
func (u *urgencyState) reserved(r Request) float64 {
	return u.demand.reserve(u.level(r), r.Limit)
}

// setDemand replaces the demand of all instances.
func (u *urgencyState) setDemand(d demand, l Limit, now time.Time) {
	u.demand = d
	for n := range u.excess {
		u.excess[n].observe(d.upTo(n) >= l.Rate, now)
	}
}
