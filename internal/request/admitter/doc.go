// Package admitter decides which requests wait for a runner and which is served next.
//
// A queue is bounded. Until it is half full an account may hold any number of its entries,
// from then on no more than its share. The account that has been served least goes next;
// within an account the higher priority goes first, then the nearer deadline. A request
// that can no longer meet its deadline is refused immediately, so that its caller can
// react.
//
// A Queue holds only state and is not safe for concurrent use.
package admitter
