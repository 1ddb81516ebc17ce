package limiter

// A Limit is the quota of an account.
type Limit struct {
	Rate   float64 // tokens a second
	Burst  float64 // tokens beyond that
	Counts bool    // a request counts as one token, whatever its size
	Plain  int64   // tokens that a request counts as which does not tell its size
}

// Bounds reports whether there is a limit at all.
func (l Limit) Bounds() bool { return l.Rate > 0 }

// Cost returns what a request counts as; size is 0 for one that does not tell it.
func (l Limit) Cost(size int64) int64 {
	switch {
	case l.Counts:
		return 1
	case size > 0:
		return size
	default:
		return max(1, l.Plain)
	}
}
