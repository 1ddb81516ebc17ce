// Package router chooses the runner for a request.
//
// A Policy assigns each candidate a cost. Cost adds, in seconds, the load stall (the wait
// because the adapter is not resident), the queue (the wait for a slot in the engine's
// batch) and the fraction of an engine step that would run empty, each weighted by the
// settings; a near deadline raises the weight of both waits. FirstToken estimates the time
// to the first token, and Spread distributes the requests of plain services. Least and Hash
// are the baselines that Cost is compared with.
package router
