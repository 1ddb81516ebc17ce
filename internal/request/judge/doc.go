// Package judge decides whether a request may have run.
//
// Every refusal, retry and failure in the system carries a Verdict and a Reason defined in
// this package. The verdict is derived only from what was observed on the connection, so
// that NotRun is a guarantee: the caller may retry the request without running it twice.
package judge
