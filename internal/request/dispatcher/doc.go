// Package dispatcher takes a request from its arrival at an instance to the
// upstream that answers it: it chooses the runner, passes the request to the
// runner's owner, and decides after a failure whether another attempt is safe.
package dispatcher
