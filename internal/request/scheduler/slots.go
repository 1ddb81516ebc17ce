package scheduler

import "time"

// Slots are the request slots of a runner, as last reported.
type Slots struct {
	Known     int           // requests that run or wait there, as known now
	Reported  int           // further ones, as last reported
	ReportAge time.Duration // mean age of the reports
	RunTime   time.Duration // estimated run time of a request
	Total     int           // 0 if unknown
}

const (
	// maxEndedFraction limits which part of the reported requests is assumed to have ended
	// since: the estimated run time may be too short.
	maxEndedFraction = 0.5
	// waitingAtRunner is how many requests may wait at the runner for a slot. With one, no slot
	// is unused while a grant is on its way.
	waitingAtRunner = 1
)

// occupied returns the expected number of requests at the runner now.
func (s Slots) occupied(granted int) float64 {
	ended := 0.
	if s.RunTime > 0 {
		ended = min(maxEndedFraction, float64(s.ReportAge)/float64(s.RunTime))
	}
	return float64(s.Known+granted) + float64(s.Reported)*(1-ended)
}

// wait returns the expected time until a further request may be sent to the runner, if as many
// requests are there.
func (s Slots) wait(occupied float64) time.Duration {
	if s.Total == 0 {
		return 0
	}
	over := occupied + 1 - float64(s.Total+waitingAtRunner)
	if over <= 0 {
		return 0
	}
	return time.Duration(over * float64(s.RunTime) / float64(s.Total))
}
