package registrar

import "time"

// Faults are the faults that the platform injects. The zero value injects none.
// Durations are in nanoseconds in JSON.
type Faults struct {
	Down bool          `json:"down"` // reject every call
	Cut  []string      `json:"cut"`  // failure domains that cannot reach the platform
	Lose int           `json:"lose"` // number of commits to execute without a response
	Slow time.Duration `json:"slow"` // delay of each call
}

// Counters count the calls that the platform has executed.
type Counters struct {
	Commits            int   `json:"commits"`  // committed transactions
	Rows               int   `json:"rows"`     // rows written or deleted
	Reads              int   `json:"reads"`    // gets, scans and instance lists
	LostResponses      int   `json:"lost"`     // responses lost after the commit
	Loads              int   `json:"loads"`    // weight loads, including rejected ones
	MaxConcurrentLoads int   `json:"together"` // highest number of concurrent weight loads
	Bytes              int64 `json:"bytes"`    // sent and received in bodies, without weight loads
}
