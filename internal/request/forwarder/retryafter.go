package forwarder

import (
	"math/rand/v2"
	"time"
)

// retryAfter returns the time after which a caller may retry: the minimum plus a random
// part of up to the same length, so that callers refused at the same time do not retry at
// the same time.
func retryAfter(minimum time.Duration) time.Duration {
	minimum = max(minimum, minRetryAfter)
	return minimum + time.Duration(rand.Float64()*float64(minimum))
}
