package judge

// A Verdict states whether a request may have run.
type Verdict string

// The verdicts. NotRun is a guarantee, MayHaveRun means that it is unknown, and Ran means
// that the upstream completed the request.
const (
	MayHaveRun Verdict = "may_have_run"
	NotRun     Verdict = "not_run"
	Ran        Verdict = "ran"
)

// A Reason is why a request was refused, failed or retried. Each has a counter and an entry
// in docs/OPERATORS.md.
type Reason string

// The reasons.
const (
	ReasonAdapter    Reason = "adapter"    // the adapter or its version is not declared
	ReasonAuth       Reason = "auth"       // the key belongs to no client account
	ReasonBody       Reason = "body"       // the body is malformed or too large
	ReasonCancelled  Reason = "cancelled"  // the caller disconnected
	ReasonClaim      Reason = "claim"      // the claim could not be recorded in the table service
	ReasonCut        Reason = "cut"        // the upstream failed or its response ended early
	ReasonDeadline   Reason = "deadline"   // the deadline cannot be met or has passed
	ReasonDial       Reason = "dial"       // no connection to the upstream
	ReasonDuplicate  Reason = "duplicate"  // another attempt holds the same idempotency key
	ReasonHeader     Reason = "header"     // a request header is malformed
	ReasonInternal   Reason = "internal"   // a fault of this program ended the request
	ReasonLimit      Reason = "limit"      // the runners limit their request rate
	ReasonLoad       Reason = "load"       // the adapter could not be loaded
	ReasonMalformed  Reason = "malformed"  // the response of the upstream is malformed
	ReasonMismatch   Reason = "mismatch"   // another adapter responded
	ReasonOverload   Reason = "overload"   // the instance is short of processor time
	ReasonOwner      Reason = "owner"      // this instance does not own the runner
	ReasonPeer       Reason = "peer"       // the link to the owning instance failed
	ReasonQuarantine Reason = "quarantine" // the request is quarantined because runners that ran it crashed
	ReasonQueue      Reason = "queue"      // the queue is full
	ReasonQuota      Reason = "quota"      // the account has exhausted its quota
	ReasonRefused    Reason = "refused"    // the upstream refused before running
	ReasonRest       Reason = "rest"       // the runners asked this instance for rest
	ReasonShare      Reason = "share"      // the account has exhausted its share of the queue
	ReasonStarting   Reason = "starting"   // this instance has no settings yet
	ReasonStopping   Reason = "stopping"   // the instance is shutting down
	ReasonUpstream   Reason = "upstream"   // no upstream of the service can serve the request
	ReasonVersion    Reason = "version"    // no upstream has the software version at which the stream began, or that version is not known
	ReasonWritten    Reason = "written"    // the connection failed after request bytes were sent
)

// Reasons lists every Reason, in alphabetical order.
var Reasons = []Reason{
	ReasonAdapter, ReasonAuth, ReasonBody, ReasonCancelled, ReasonClaim,
	ReasonCut, ReasonDeadline, ReasonDial, ReasonDuplicate, ReasonHeader,
	ReasonInternal, ReasonLimit, ReasonLoad, ReasonMalformed, ReasonMismatch, ReasonOverload, ReasonOwner, ReasonPeer, ReasonQuarantine, ReasonQueue, ReasonQuota,
	ReasonRefused, ReasonRest, ReasonShare, ReasonStarting, ReasonStopping,
	ReasonUpstream, ReasonVersion, ReasonWritten,
}
