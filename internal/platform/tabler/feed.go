package tabler

import (
	"context"
	"time"
)

// A Feed is a table service whose changes can be watched. A key consists of the
// table's name, a slash, and the key within the table.
type Feed interface {
	// Get returns a row; its Version is 0 if the row does not exist.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns a consistent snapshot of a table and the version of the
	// snapshot, which is the newest version of any row.
	Scan(ctx context.Context, table string) ([]Row, uint64, error)
	// Watch waits up to wait for rows of a table to change after a version. It
	// returns them with the version to continue from. It returns ErrCompacted
	// if the changes since that version have been compacted; the caller then
	// has to Scan again.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
	// Write commits a transaction and returns the version of the rows it wrote.
	// It returns the same errors as Table.Commit.
	Write(ctx context.Context, txn Txn) (uint64, error)
}
