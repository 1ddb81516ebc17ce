package gatekeeper

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// A countingConversation counts the requests that its peer may run.
type countingConversation struct {
	Conversation

	begun int
}

func (c *countingConversation) Begin() error {
	c.begun++
	return nil
}

// Guards against a request that runs at a peer although its caller has left while the peer was asked.
func TestPeerRunsNoRequestOfACallerThatLeft(t *testing.T) {
	for _, left := range []bool{false, true} {
		var c countingConversation
		r := forwarder.DetourRequest{Request: &forwarder.Request{CallerLeft: func() bool { return left }}}
		err := beginDetour(t.Context(), &c, r)
		if diff := cmp.Diff([]any{left, !left}, []any{err != nil && judge.As(err).Verdict == judge.NotRun, c.begun == 1}); diff != "" {
			t.Errorf("left %v: refused, begun: %s", left, diff)
		}
	}
}
