// Package heartbeater tracks which instances are alive.
//
// The platform's instance list lags behind, heartbeats between the instances of a
// domain do not. A Monitor combines the two: missing heartbeats make an instance
// suspect, which only keeps new work from it; nothing is taken over on suspicion
// alone. An instance counts as gone, meaning that its process has terminated, only
// when it has been missing from the list and sent no heartbeats for a time limit.
// An incarnation that reported that it is draining stays so, however far the list
// lags behind.
//
// A Monitor is plain state and not safe for concurrent use.
package heartbeater
