package forwarder

import (
	"context"

	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// Streams remembers at which software versions of their runners streams began, for callers that take
// them up at any instance (docs/design/versions.md).
type Streams interface {
	// Began records that the first event of a stream comes from a runner of a software version. It
	// does not wait for other instances.
	Began(r *Request, version string)
	// Find returns the software version that a stream keeps, or why it cannot go on.
	Find(ctx context.Context, r *Request) (tracker.VersionPin, *judge.Error)
}

// findVersion finds out at which software version a stream began that its caller takes up. For a
// request over a detour the instance that sent it has done so.
func (x *exchange) findVersion(ctx context.Context) (refused *judge.Error) {
	r := x.request
	if r.Resumes == "" || x.Streams == nil || r.Via != "" {
		return nil
	}
	x.eligible.pin, refused = x.Streams.Find(ctx, r)
	return refused
}

// recordVersion records that an event comes from a runner of a software version. The first one
// decides which version the stream keeps.
func (x *exchange) recordVersion(version string) {
	if x.recorded {
		return
	}
	x.recorded = true
	x.eligible.begin(version)
	if x.Streams != nil && x.request.Via == "" {
		x.Streams.Began(x.request, version)
	}
}
