package server

import (
	"context"
	"errors"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
)

// CommitBatched commits a transaction through the instance that batches writes for the
// failure domain, so that the domain writes a few batches a second whatever the
// number of claims. That is the first live member of the roster; it needs no
// lease, because the version checks of the table detect conflicts. If no
// conversation with it can be opened, this instance commits the transaction
// itself.
func (s *Server) CommitBatched(ctx context.Context, txn tabler.Txn) error {
	address, ok := s.batcherAddress(time.Now())
	if !ok {
		return s.Claimer.CommitBatched(ctx, txn)
	}
	c, err := s.Mesh.Open(ctx, address, relayer.Commit{Txn: txn})
	if err != nil {
		return s.Claimer.CommitBatched(ctx, txn)
	}
	defer c.Close()
	m, err := c.Next(ctx)
	if err != nil {
		return &tabler.UnknownError{Err: err} // the peer may have written it
	}
	result, ok := m.(relayer.Committed)
	if !ok {
		return &tabler.UnknownError{Err: errors.New("the peer gave no answer to a commit")}
	}
	return result.Err()
}

// batcherAddress returns the address of the peer that batches writes, or false if that
// is this instance or no other live member is known.
func (s *Server) batcherAddress(now time.Time) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.Holder.Roster().Members {
		if m.Incarnation == s.Incarnation {
			return "", false
		}
		if s.Monitor.Health(m.Incarnation, now) != heartbeater.Live {
			continue
		}
		if i, ok := s.Monitor.Instance(m.Incarnation, now); ok {
			return i.Address, true
		}
	}
	return "", false
}

// commitResult converts the result of a commit into the message to a peer.
func commitResult(err error) relayer.Committed {
	var conflict *tabler.ConflictError
	var unavailable *tabler.UnavailableError
	switch {
	case err == nil:
		return relayer.Committed{}
	case errors.As(err, &conflict):
		return relayer.Committed{Conflict: conflict.Key}
	case errors.As(err, &unavailable):
		return relayer.Committed{Unavailable: true}
	default:
		return relayer.Committed{Unknown: true}
	}
}
