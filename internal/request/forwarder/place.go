package forwarder

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/request/router"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

const (
	// placesAsked is how many runners of a plain service are asked for a place. A third one
	// is hardly ever much freer than the better of two. Where none of them has one, up to
	// mostAsked are: nobody is to be refused while there is a place.
	placesAsked = 2
	mostAsked   = 8
	// freeEnough is the part of the goal for which a request may wait without that another
	// runner is asked.
	freeEnough = 1. / 6
	// placePart is the part of the goal for which it may wait at all. What is left is for
	// its run, and for those that come after it.
	placePart = 0.5
	// latePart is the same, of the time that its caller still has, for a request that has
	// been sent before.
	latePart = 1. / 3
)

// choosePlace returns a runner of a plain service where the request has a place; asked is false
// if nobody can tell.
func (p *exchange) choosePlace(ctx context.Context) (runner tracker.Runner, refused *judge.Error, asked bool) {
	if p.request.Engine != nil {
		return tracker.Runner{}, nil, false
	}
	now := time.Now()
	choice := router.Router{Policy: router.Spread{Away: away, Draw: rand.Float64}}
	terms := choice.Choose(router.Request{}, p.Fleet.Candidates(p.demand(p.tried), now))
	var best placed
	unanswered := 0
	for n, t := range terms[:min(len(terms), mostAsked)] {
		if n >= placesAsked && best.Done != nil || unanswered >= placesAsked {
			break
		}
		place, full, ok := p.Placement.Place(ctx, t.Runner, p.placeWithin(now))
		switch {
		case !ok:
			unanswered++ // each may have taken the time that an answer is awaited
			continue
		case full != nil:
			refused = nearer(refused, full)
			continue
		}
		best = best.better(placed{place, t.Runner})
		if best.Wait <= time.Duration(freeEnough*float64(p.request.Route.Goal)) {
			break
		}
	}
	if best.Done == nil {
		return tracker.Runner{}, refused, refused != nil
	}
	runner, known := p.Fleet.Get(best.runner)
	if !known || runner.Leaving {
		best.Done()
		return tracker.Runner{}, nil, false
	}
	p.place, p.queue = best.Place, best.Wait
	return runner, nil, true
}

// A placed is a place at a runner.
type placed struct {
	Place

	runner string
}

// better returns the place where the request waits less, and gives the other one back.
func (p placed) better(other placed) placed {
	switch {
	case p.Done == nil:
		return other
	case other.Wait < p.Wait:
		p.Done()
		return other
	default:
		other.Done()
		return p
	}
}

// nearer returns the refusal with the shorter wait.
func nearer(a, b *judge.Error) *judge.Error {
	if a == nil || b.Retry < a.Retry {
		return b
	}
	return a
}

// placeWithin returns for how long the request may wait at a runner.
func (p *exchange) placeWithin(now time.Time) time.Duration {
	if p.arrivals > 0 {
		return time.Duration(latePart * float64(p.request.Deadline.Sub(now)))
	}
	return time.Duration(placePart*float64(p.request.Route.Goal)) - now.Sub(p.request.Arrived)
}

// leavePlace gives the place at a runner back.
func (p *exchange) leavePlace() {
	if p.place.Done != nil {
		p.place.Done()
	}
	p.place = Place{}
}
