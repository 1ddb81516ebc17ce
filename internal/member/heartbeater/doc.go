// Package heartbeater decides which instances are alive.
//
// The platform's list lags, heartbeats between the instances of a domain do
// not. A Monitor joins the two: silence makes an instance suspect, which only
// keeps new work from it; nothing is taken over on suspicion alone. An instance
// is gone, meaning that its process runs no more, only when the list has been
// without it for a while and it has been silent as long. Leaving sticks to the
// incarnation that said it, however late the list is.
//
// A Monitor is plain state and not safe for concurrent use.
package heartbeater
