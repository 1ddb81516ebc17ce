package bodyreader_test

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/sardinetiller/sardinetiller/internal/wire/bodyreader"
)

// An endlessBody counts the bytes that are read of it.
type endlessBody struct{ read *atomic.Int64 }

// Read implements io.Reader.
func (b endlessBody) Read(p []byte) (int, error) {
	b.read.Add(int64(len(p)))
	return len(p), nil
}

// Guards against peers that send bodies without end and together take more memory than there is, although each body
// is within its limit, and against short bodies that are refused for them.
func TestBudgetBoundsAllBodiesTogether(t *testing.T) {
	const total, bodies = 4 << 20, 20
	budget := &bodyreader.Budget{Total: total}
	var read atomic.Int64
	var readers sync.WaitGroup
	for range bodies {
		readers.Go(func() {
			if data, err := budget.ReadAll(endlessBody{&read}, 16<<20); !errors.Is(err, bodyreader.ErrTooLong) {
				t.Errorf("%d bytes, %v", len(data), err)
			}
			if data, err := budget.ReadAll(bytes.NewReader(make([]byte, 60<<10)), 16<<20); err != nil {
				t.Errorf("short body: %d bytes, %v", len(data), err)
			}
		})
	}
	readers.Wait()
	if most := int64(bodies * 2 * total); read.Load() > most {
		t.Errorf("%d bytes were read, over %d", read.Load(), most)
	}
	data, err := budget.ReadAll(bytes.NewReader(make([]byte, total)), 16<<20)
	if len(data) != total || err != nil {
		t.Errorf("afterwards: %d bytes, %v", len(data), err)
	}
	if data, err := budget.ReadAll(io.LimitReader(endlessBody{&read}, 2*total), 16<<20); !errors.Is(err, bodyreader.ErrTooLong) {
		t.Errorf("alone beyond the total: %d bytes, %v", len(data), err)
	}
	var none bodyreader.Budget
	if data, err := none.ReadAll(bytes.NewReader(make([]byte, total)), total); len(data) != total || err != nil {
		t.Errorf("no total: %d bytes, %v", len(data), err)
	}
}
