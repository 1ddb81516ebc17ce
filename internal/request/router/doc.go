// Package router chooses the runner for a request.
//
// The choice follows from one cost function. For each candidate it adds, in
// seconds, the load stall (the wait because the adapter is not resident), the
// queue (the wait for a place in the engine's batch) and the share of an engine
// step that would run empty, each with its weight from the settings. A deadline
// that nears raises the weight of both waits. Least and Hash are the baselines
// that Cost is measured against.
package router
