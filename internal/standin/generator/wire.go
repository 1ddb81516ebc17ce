package generator

import "time"

// The paths of an engine.
const (
	PathBooks       = "/books"
	PathCancel      = "/orders/cancel"
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathControl     = "/control"
	PathEvict       = "/orders/evict"
	PathFence       = "/orders/fence"
	PathLoad        = "/orders/load"
	PathReport      = "/report"
)

// The headers of an engine.
const (
	HeaderAdapter  = "X-Adapter"    // on an answer: the adapter version that gave it
	HeaderEngine   = "X-Engine"     // on an answer: the engine's incarnation
	HeaderPriority = "X-Priority"   // on a request: higher goes first
	HeaderRequest  = "X-Request-Id" // on a request: whose it is, for the books
)

// An Order asks the engine to change what it holds.
type Order struct {
	Handle string `json:"handle"`
	Fence  uint64 `json:"fence"`
}

// A Cancel asks the engine to end a request. The answer says that it does not
// run, whether it was known or not.
type Cancel struct {
	Request string `json:"request"`
}

// A Report is what the engine says of itself, some time ago.
type Report struct {
	Engine   string   `json:"engine"` // incarnation
	Resident []string `json:"resident"`
	Loading  []string `json:"loading"`
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Leaving  bool     `json:"leaving"`
	Fence    uint64   `json:"fence"` // highest fencing number seen
}

// Faults are what is wrong with the engine now.
type Faults struct {
	Cut     int           `json:"cut"`     // answers still to cut in the middle
	Fail    int           `json:"fail"`    // loads still to fail
	Lag     time.Duration `json:"lag"`     // of reports, in nanoseconds
	Leaving bool          `json:"leaving"` // say so in reports, refuse nothing
	Lose    int           `json:"lose"`    // orders still to carry out without an answer
	Refuse  int           `json:"refuse"`  // requests still to refuse
	Restart bool          `json:"restart"` // start anew, empty, once
	Stall   time.Duration `json:"stall"`   // added to each order, in nanoseconds
}

// A Run is one request that the engine began to run.
type Run struct {
	Request   string    `json:"request"`
	Marker    string    `json:"marker"` // the last thing that the caller said
	Adapter   string    `json:"adapter"`
	StartedAt time.Time `json:"began"`
	Complete  bool      `json:"whole"` // every token was given
}

// An RunningEviction is an eviction that hit a running request.
type RunningEviction struct {
	Handle     string        `json:"handle"`
	Fence      uint64        `json:"fence"` // of the order
	Marker     string        `json:"marker"`
	RunningFor time.Duration `json:"age"` // since the request began, in nanoseconds
}

// Record are what the engine did, in its own count.
type Record struct {
	Runs           []Run             `json:"runs"`
	Loads          int               `json:"loads"`
	Evictions      int               `json:"evicts"`
	EvictedRunning []RunningEviction `json:"under"`  // evictions under a running request
	StaleOrders    int               `json:"late"`   // orders refused for their fencing number
	Steps          int               `json:"steps"`  // with at least one request running
	FilledSlots    int               `json:"filled"` // requests in those steps, added up
	Batch          int               `json:"batch"`  // requests that fit in a step
	LeavingSince   time.Time         `json:"left"`   // when it first said that it leaves
}
