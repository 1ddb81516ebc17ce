// Package tabler reaches the platform's transactional table service.
//
// A Table holds rows by key; each write gives a row a new version. A Txn is
// carried out whole if every Check holds, else not at all. The answer to a
// commit can be lost after the write took effect: that is an UnknownError, and
// the caller settles it by reading back what only its own attempt can have
// written.
package tabler

import (
	"context"
	"errors"
	"fmt"
)

// A Table is the table service. Client is the real one, Memory a complete one
// in this process, and Dry one that only pretends to write.
type Table interface {
	// Commit carries a transaction out. It returns a *ConflictError if a check
	// did not hold, an *UnknownError if it may or may not have taken effect,
	// and an *UnavailableError if it did not.
	Commit(ctx context.Context, txn Txn) error
	// Get returns a row; its Version is 0 if the row does not exist.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns the rows whose keys begin with prefix, in order of key.
	Scan(ctx context.Context, prefix string) ([]Row, error)
}

// A Row is one row of the table.
type Row struct {
	Key     string `cbor:"1,keyasint"`
	Value   []byte `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`           // 0: no such row
	Removed bool   `cbor:"4,keyasint,omitempty"` // told by a Feed: the row is gone
}

// ErrForgotten is a Feed that no longer knows the changes that were asked for.
var ErrForgotten = errors.New("the table service has forgotten these changes")

// A Check is a condition: the row has the version, or does not exist for 0.
type Check struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// A Put is one row to write.
type Put struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
}

// A Txn is a transaction.
type Txn struct {
	Checks  []Check  `cbor:"1,keyasint"`
	Puts    []Put    `cbor:"2,keyasint"`
	Deletes []string `cbor:"3,keyasint"`
}

// A ConflictError is a transaction that was refused because a check failed.
type ConflictError struct{ Key string }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s is not as it was read", e.Key)
}

// An UnavailableError is a call that certainly had no effect.
type UnavailableError struct{ Err error }

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("platform unavailable: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// An UnknownError is a commit whose answer was lost: it may have taken effect.
type UnknownError struct{ Err error }

// Error implements error.
func (e *UnknownError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }
