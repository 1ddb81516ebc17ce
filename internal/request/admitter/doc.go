// Package admitter decides which requests wait for a runner and which goes
// next.
//
// A queue is bounded. An account may fill it alone, but once the queue is half
// full no account may hold more than its share. The account that has been
// served least goes next; within an account the higher priority, then the
// nearer deadline. A request that cannot meet its deadline any more is refused
// at once, so that its caller can act on it.
//
// A Queue is plain state and not safe for concurrent use.
package admitter
