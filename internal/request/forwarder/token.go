package forwarder

import (
	"context"
	"time"
)

// A token allows one request to a runner.
type token struct {
	runner  string
	takenAt time.Time
}

// tokenLifetime is how long after it was taken a token may be used. Tokens that are used late
// can add up to more requests than the runner accepts.
const tokenLifetime = 300 * time.Millisecond

// takeToken takes a token for the next request to a runner, unless the exchange has one.
func (x *exchange) takeToken(ctx context.Context, runner string) bool {
	now := time.Now()
	if x.token.runner == runner && now.Sub(x.token.takenAt) < tokenLifetime {
		return true
	}
	if !x.Placement.TakeToken(ctx, runner) {
		x.denied = append(x.denied, runner)
		return false
	}
	x.token = token{runner: runner, takenAt: now}
	return true
}
