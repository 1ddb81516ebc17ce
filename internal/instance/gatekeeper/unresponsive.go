package gatekeeper

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// A failureScore is a score of the signs that a runner is down. After a crash its row stays for
// seconds, and requests that wait for an adapter do not fail there: with all its slots free
// the runner looked like the best choice, 67 adapters queued for it, and their requests were
// refused when they reached their wait limit. Any response resets the score.
type failureScore int

const (
	// noResponsePenalty and noConnectionPenalty are added for an order without a response and
	// for a failed connection, and unresponsive is the score from which on a runner is skipped.
	// If half of the orders get no response, one runner in sixteen is skipped until its next
	// response.
	noResponsePenalty   failureScore = 1
	noConnectionPenalty failureScore = 2
	unresponsive        failureScore = 4
	// unresponsiveWait is the published wait for a slot at such a runner. It is longer than at any
	// live runner, and no longer than the row of a crashed one stays.
	unresponsiveWait = 2 * time.Second
)

func (s *failureScore) recordOrder(o placer.Outcome) {
	switch o {
	case placer.Lost:
		*s += noResponsePenalty
	case placer.Unreached:
		*s += noConnectionPenalty
	default:
		*s = 0
	}
}

func (s *failureScore) recordReport(err error) {
	switch {
	case err == nil:
		*s = 0
	case judge.As(err).Verdict == judge.NotRun:
		*s += noConnectionPenalty
	default:
		*s += noResponsePenalty
	}
}
