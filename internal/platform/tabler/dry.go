package tabler

import "context"

// A Dry table reads from another Table and writes nothing. It verifies the
// checks of each transaction and records it in Committed, for dry runs.
type Dry struct {
	Table Table

	Committed []Txn
}

var _ Table = (*Dry)(nil)

// Commit implements Table.
func (d *Dry) Commit(ctx context.Context, txn Txn) error {
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
func (d *Dry) Get(ctx context.Context, key string) (Row, error) { return d.Table.Get(ctx, key) }

// Scan implements Table.
func (d *Dry) Scan(ctx context.Context, prefix string) ([]Row, error) {
	return d.Table.Scan(ctx, prefix)
}
