package judge

// A Verdict says whether a request may have run.
type Verdict string

// The verdicts. NotRun is a promise; MayHaveRun says that nobody can tell; Ran
// says that the upstream completed it.
const (
	MayHaveRun Verdict = "may_have_run"
	NotRun     Verdict = "not_run"
	Ran        Verdict = "ran"
)

// A Reason names why a request was refused, failed or retried. Each has a
// counter and a line in docs/OPERATORS.md.
type Reason string

// The reasons.
const (
	ReasonAdapter    Reason = "adapter"    // the adapter or its version is not declared
	ReasonAuth       Reason = "auth"       // the key belongs to no client account
	ReasonBody       Reason = "body"       // the body is malformed or too large
	ReasonCancelled  Reason = "cancelled"  // the caller went away
	ReasonClaim      Reason = "claim"      // the claim could not be recorded in the table service
	ReasonCut        Reason = "cut"        // the upstream's answer ended early
	ReasonDeadline   Reason = "deadline"   // the deadline cannot be met or has passed
	ReasonDial       Reason = "dial"       // no connection to the upstream
	ReasonDuplicate  Reason = "duplicate"  // another attempt holds the same idempotency key
	ReasonHeader     Reason = "header"     // a request header is malformed
	ReasonLoad       Reason = "load"       // the adapter could not be loaded
	ReasonMismatch   Reason = "mismatch"   // the engine answered for another adapter
	ReasonOwner      Reason = "owner"      // the instance asked does not own the runner
	ReasonPeer       Reason = "peer"       // the link to the owning instance failed
	ReasonQuarantine Reason = "quarantine" // runners crashed that ran the request
	ReasonQueue      Reason = "queue"      // the queue is full
	ReasonQuota      Reason = "quota"      // the account has used its quota
	ReasonRefused    Reason = "refused"    // the upstream refused before running
	ReasonShare      Reason = "share"      // the account has used its share of the queue
	ReasonStarting   Reason = "starting"   // no settings are in force here yet
	ReasonStopping   Reason = "stopping"   // the instance is leaving
	ReasonUpstream   Reason = "upstream"   // no upstream of the service can serve
	ReasonWritten    Reason = "written"    // the connection failed after bytes were sent
)

// Reasons lists every Reason, in alphabetical order.
var Reasons = []Reason{
	ReasonAdapter, ReasonAuth, ReasonBody, ReasonCancelled, ReasonClaim,
	ReasonCut, ReasonDeadline, ReasonDial, ReasonDuplicate, ReasonHeader,
	ReasonLoad, ReasonMismatch, ReasonOwner, ReasonPeer, ReasonQuarantine, ReasonQueue, ReasonQuota,
	ReasonRefused, ReasonShare, ReasonStarting, ReasonStopping,
	ReasonUpstream, ReasonWritten,
}
