package generator

import "time"

// Paths of an engine.
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

// Headers of an engine.
const (
	HeaderAdapter  = "X-Adapter"    // on a response: the adapter version that generated it
	HeaderEngine   = "X-Engine"     // on a response: the engine's incarnation
	HeaderPriority = "X-Priority"   // on a request: higher values are scheduled first
	HeaderRequest  = "X-Request-Id" // on a request: its ID, for the record
)

// An Order asks the engine to load or evict an adapter, or to raise its fencing
// token.
type Order struct {
	Handle string `json:"handle"`
	Fence  uint64 `json:"fence"`
}

// A Cancel asks the engine to abort a request. The response confirms that the
// request does not run, whether or not it was known.
type Cancel struct {
	Request string `json:"request"`
}

// A Report is the state of the engine, as of Faults.Lag ago.
type Report struct {
	Engine   string   `json:"engine"` // incarnation
	Resident []string `json:"resident"`
	Loading  []string `json:"loading"`
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Leaving  bool     `json:"leaving"`
	Fence    uint64   `json:"fence"` // highest fencing token seen
}

// Faults are the faults that the engine injects.
type Faults struct {
	Cut     int           `json:"cut"`     // number of requests to truncate in the middle, if streamed
	Fail    int           `json:"fail"`    // number of loads to fail
	Lag     time.Duration `json:"lag"`     // age of reports, in nanoseconds
	Leaving bool          `json:"leaving"` // report that the engine drains, but still accept requests
	Lose    int           `json:"lose"`    // number of orders to execute without a response
	Refuse  int           `json:"refuse"`  // number of requests to reject
	Restart bool          `json:"restart"` // restart once, without adapters
	Stall   time.Duration `json:"stall"`   // delay of each order, in nanoseconds
}

// A Run is a request that the engine accepted.
type Run struct {
	Request    string    `json:"request"`
	Marker     string    `json:"marker"` // content of the caller's last message
	Adapter    string    `json:"adapter"`
	AcceptedAt time.Time `json:"began"`
	Complete   bool      `json:"whole"` // all tokens were emitted
}

// An InUseEviction is an eviction that aborted a request.
type InUseEviction struct {
	Handle     string        `json:"handle"`
	Fence      uint64        `json:"fence"` // fencing token of the order
	Marker     string        `json:"marker"`
	RequestAge time.Duration `json:"age"` // since the request was accepted, in nanoseconds
}

// A Record holds what the engine executed.
type Record struct {
	Runs         []Run           `json:"runs"`
	Loads        int             `json:"loads"`
	Evictions    int             `json:"evicts"`
	EvictedInUse []InUseEviction `json:"under"`  // evictions that aborted a request
	StaleOrders  int             `json:"late"`   // orders rejected because of their fencing token
	Steps        int             `json:"steps"`  // steps with at least one running request
	FilledSlots  int             `json:"filled"` // sum of the running requests over those steps
	Batch        int             `json:"batch"`  // maximum number of requests in a step
	LeavingSince time.Time       `json:"left"`   // when the engine started to report that it drains
}
