package aggregator

// EachCopy calls do for each copy at a runner that requests of any member use or wait for, with
// the number of each.
func (a *Aggregator) EachCopy(do func(k Key, uses, waiting int)) {
	for k, n := range a.uses {
		do(k, n, 0)
	}
	for k := range a.waiting {
		do(k, 0, a.totalWaiting(k).Requests)
	}
}
