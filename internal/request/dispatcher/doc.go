// Package dispatcher dispatches requests to upstreams: it selects a runner,
// forwards the request to the owner of that runner, and decides after a failure
// whether a retry is safe.
package dispatcher
