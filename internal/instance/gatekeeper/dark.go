package gatekeeper

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// A darkness counts the signs that a runner does not live. Its row stays for
// seconds after a crash, and no request fails there that waits for an adapter: with
// all its places vacant the runner looked like the best of all, 67 adapters stood
// in line for it, and their requests were refused when their patience ended.
type darkness int

const (
	// unanswered and unreached are how much an order without an answer and a
	// connection that was not made count, and dark is from where on a runner is
	// passed over. Where half of the orders get no answer, one runner in sixteen is
	// passed over until its next answer.
	unanswered darkness = 1
	unreached  darkness = 2
	dark       darkness = 4
	// darkWait is how long a place is said to be waited for at such a runner: longer
	// than at any that lives, and no longer than its row stays.
	darkWait = 2 * time.Second
)

func (d *darkness) order(o placer.Outcome) {
	switch o {
	case placer.Lost:
		*d += unanswered
	case placer.Unreached:
		*d += unreached
	default:
		*d = 0
	}
}

func (d *darkness) report(err error) {
	switch {
	case err == nil:
		*d = 0
	case judge.As(err).Verdict == judge.NotRun:
		*d += unreached
	default:
		*d += unanswered
	}
}
