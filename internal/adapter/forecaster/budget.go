package forecaster

import "time"

// A budget limits the copies that are requested, as loads are billed. Its zero value is full.
type budget struct {
	spent float64
	at    time.Time
}

const (
	// budgetRate is the copies per second that may be requested per runner: about as many as
	// waiting requests cause to be loaded without this package, so that no more are billed.
	budgetRate = 0.5
	// budgetTime is for how long an unused budget adds up: as long as the set of popular adapters
	// stays the same on average, as most copies are requested just after it changes.
	budgetTime = 2 * time.Second
)

// left returns how many copies may be requested now for a number of runners.
func (b *budget) left(runners int, now time.Time) int {
	perSecond := budgetRate * float64(runners)
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.spent = max(0, b.spent-perSecond*elapsed.Seconds())
		b.at = now
	}
	return max(0, int(max(1, perSecond*budgetTime.Seconds())-b.spent))
}

// spend records that n copies were requested; n is negative for copies that were not loaded.
func (b *budget) spend(n int) { b.spent = max(0, b.spent+float64(n)) }
