package tabler

import (
	"context"
	"time"
)

// A Feed is a table service that tells what has changed. Keys are a table's
// name, a slash, and the key within the table.
type Feed interface {
	// Get returns a row; its Version is 0 if the row does not exist.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns the rows of a table as of one moment, and the newest version
	// of any row then.
	Scan(ctx context.Context, table string) ([]Row, uint64, error)
	// Watch waits until rows of a table have changed after a version, at most
	// wait, and returns them with the version to go on from. It returns
	// ErrForgotten if the changes since then are no longer known: Scan again.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
	// Write carries a transaction out and returns the version of what it wrote.
	// Its errors are those of Table.Commit.
	Write(ctx context.Context, txn Txn) (uint64, error)
}
