package driver

import (
	"time"
)

// An ewma is an exponentially weighted moving average of seconds.
type ewma struct{ value float64 }

// ewmaWeight is the weight of the newest value.
const ewmaWeight = 0.1

func (a *ewma) add(d time.Duration) { a.value += ewmaWeight * (d.Seconds() - a.value) }

func (a *ewma) duration() time.Duration { return time.Duration(a.value * float64(time.Second)) }
