package forwarder

import (
	"math/rand/v2"
	"time"
)

// retryAfter returns when a caller may try again after a refusal: not before the
// time that is known to be needed, and spread over as much again, so that those
// who were refused together do not return together.
func retryAfter(least time.Duration) time.Duration {
	least = max(least, minRetryAfter)
	return least + time.Duration(rand.Float64()*float64(least))
}
