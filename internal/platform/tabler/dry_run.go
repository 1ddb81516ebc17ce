package tabler

import "context"

// A DryRun table reads from another Table and writes nothing. It verifies the
// checks of each transaction and records it in Committed, for dry runs.
type DryRun struct {
	Table Table

	Committed []Txn
}

var _ Table = (*DryRun)(nil)

// Commit implements Table.
func (d *DryRun) Commit(ctx context.Context, txn Txn) error {
	for _, c := range txn.Checks {
		row, err := d.Table.Get(ctx, c.Key)
		if err != nil {
			return err
		}
		if row.Version != c.Version {
			return &ConflictError{Key: c.Key}
		}
	}
	d.Committed = append(d.Committed, txn)
	return nil
}

// Get implements Table.
func (d *DryRun) Get(ctx context.Context, key string) (Row, error) { return d.Table.Get(ctx, key) }

// Scan implements Table.
func (d *DryRun) Scan(ctx context.Context, prefix string) ([]Row, error) {
	return d.Table.Scan(ctx, prefix)
}
