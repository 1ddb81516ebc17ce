package tabler

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
)

// A Memory is an in-memory Table for tests and for the simulated platform. Its
// zero value is ready to use; it is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	rows    map[string]Row
	version uint64
}

var _ Table = (*Memory)(nil)

// Commit implements Table.
func (m *Memory) Commit(_ context.Context, txn Txn) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range txn.Checks {
		if m.rows[c.Key].Version != c.Version {
			return &ConflictError{Key: c.Key}
		}
	}
	if m.rows == nil {
		m.rows = make(map[string]Row)
	}
	m.version++
	for _, p := range txn.Puts {
		m.rows[p.Key] = Row{Key: p.Key, Value: p.Value, Version: m.version}
	}
	for _, key := range txn.Deletes {
		delete(m.rows, key)
	}
	return nil
}

// Get implements Table.
func (m *Memory) Get(_ context.Context, key string) (Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row := m.rows[key]
	row.Key = key
	return row, nil
}

// Scan implements Table.
func (m *Memory) Scan(_ context.Context, prefix string) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows, nil
}
