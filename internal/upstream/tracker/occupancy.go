package tracker

import "time"

// An Occupancy is the use of the request slots of a runner.
type Occupancy struct {
	Others  int           // requests of other instances, running or waiting there
	Own     int           // the same, of this instance
	RunTime time.Duration // estimated run time of a request
	Slots   int           // 0 if unknown
}

// Occupancy returns the use of the request slots of a runner, as last reported.
func (f *Fleet) Occupancy(id string) Occupancy {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.runners[id]
	if !ok {
		return Occupancy{}
	}
	run := time.Duration(f.latency(s.Service).run * float64(time.Second))
	return Occupancy{
		Others: s.otherLoad.Running, Own: s.ownLoad.Running, RunTime: stretched(f.paceFactors(s, time.Now()), run), Slots: s.Slots,
	}
}
