package limiter

// A Limit is the quota of an account.
type Limit struct {
	Rate        float64 // tokens a second
	Burst       float64 // tokens that may be spent at once: the capacity of the token bucket
	PerRequest  bool    // the quota counts requests: each costs one token, whatever its size
	DefaultCost int64   // cost of a request that does not state its size, in tokens
}

// Limited reports whether the quota is limited.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Cost returns the tokens that a request costs; size is 0 if the request does not state it.
func (l Limit) Cost(size int64) int64 {
	switch {
	case l.PerRequest:
		return 1
	case size > 0:
		return size
	default:
		return max(1, l.DefaultCost)
	}
}
