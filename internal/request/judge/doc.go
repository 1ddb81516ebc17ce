// Package judge decides whether a request may have run.
//
// Every refusal, retry and failure in the system carries a Verdict and a
// Reason from the one list in this package. The verdict is derived from what
// was observed on the wire and from nothing else, so that NotRun is a promise:
// the caller may send the request again without running it twice.
package judge
