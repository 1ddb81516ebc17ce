// Package server runs one instance: it connects the packages that implement
// its decisions to the platform, peers, callers and operators.
//
// Four loops run in the background. The poll loop reads the rows of the failure
// domain in one scan, renews the lease and polls the head of the settings. The
// list loop announces the instance and reads the platform's instance list. The
// heartbeat loop publishes changes to peers. The drive loop updates the owned
// runners.
//
// Locks are acquired in one order: the driver's, then the server's, then the
// fleet's. None of them calls an earlier one while it holds its own lock.
package server
