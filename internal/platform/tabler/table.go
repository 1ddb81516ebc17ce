// Package tabler is the client of the platform's transactional table service.
//
// A Table holds rows by key; each write gives a row a new version. A Txn is
// atomic and is committed only if all its checks hold. The response to a commit
// can be lost after the write took effect. Commit then returns an UnknownError,
// and the caller finds out by reading back a value that only its own attempt can
// have written.
package tabler

import (
	"context"
	"errors"
	"fmt"
)

// A Table is a table service. Client accesses the platform's service, Memory
// keeps rows in memory, and DryRun does not write.
type Table interface {
	// Commit commits a transaction. It returns a *ConflictError if a check did
	// not hold, an *UnknownError if the transaction may have taken effect, and
	// an *UnavailableError if it certainly did not.
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
	Deleted bool   `cbor:"4,keyasint,omitempty"` // reported by Feed.Watch: the row was deleted
	Era     uint64 `cbor:"5,keyasint,omitempty"` // reported by Feed.Get: in which there is no such row; that of another row is in its Version
}

// ErrCompacted is returned by Feed.Watch if the requested changes have been
// compacted.
var ErrCompacted = errors.New("the table service has compacted these changes")

// A Check is a precondition of a transaction: the row has this version, or does
// not exist if the version is 0.
type Check struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
}

// A Put is one row to write.
type Put struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
}

// A Txn is an atomic transaction.
type Txn struct {
	Checks  []Check  `cbor:"1,keyasint"`
	Puts    []Put    `cbor:"2,keyasint"`
	Deletes []string `cbor:"3,keyasint"`
}

// A ConflictError reports that a transaction was rejected because a check failed.
type ConflictError struct{ Key string }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s is not as it was read", e.Key)
}

// An UnavailableError reports a failed call that certainly had no effect.
type UnavailableError struct{ Err error }

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("platform unavailable: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// An UnknownError reports a commit without a conclusive response. It may have
// taken effect.
type UnknownError struct{ Err error }

// Error implements error.
func (e *UnknownError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }
