package registrar

import "time"

// Faults are what is wrong with the platform now. The zero value is a platform
// in order. Durations are in JSON as nanoseconds.
type Faults struct {
	Down bool          `json:"down"` // every call is refused
	Cut  []string      `json:"cut"`  // failure domains that cannot reach the platform
	Lose int           `json:"lose"` // commits still to lose the answer of, after the write
	Slow time.Duration `json:"slow"` // added to each call
}

// Counters are what the stand-in did.
type Counters struct {
	Commits            int   `json:"commits"`  // transactions carried out
	Rows               int   `json:"rows"`     // rows written or deleted
	Reads              int   `json:"reads"`    // gets and scans
	LostResponses      int   `json:"lost"`     // answers lost after the write
	Loads              int   `json:"loads"`    // weights served
	MaxConcurrentLoads int   `json:"together"` // most weights served at once
	Bytes              int64 `json:"bytes"`    // sent and received in bodies
}
