package claimer_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/claimer"
)

// A countingTable counts transactions and takes 5 ms for each.
type countingTable struct {
	tabler.Memory
	commits atomic.Int64
}

func (c *countingTable) Commit(ctx context.Context, txn tabler.Txn) error {
	c.commits.Add(1)
	time.Sleep(5 * time.Millisecond)
	return c.Memory.Commit(ctx, txn)
}

// Guards against a batcher that writes more than 25 batches a second for its
// failure domain under load, or delays a single claim.
func TestBatchRateIsBounded(t *testing.T) {
	for _, tc := range []struct{ claims, maxCommits int }{{1, 1}, {1000, 27}} {
		t.Run(fmt.Sprint(tc.claims), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := &countingTable{}
				c := &claimer.Claimer{Self: "i", Table: table, Gone: func(string) bool { return false }}
				ctx, cancel := context.WithCancel(t.Context())
				go c.Run(ctx)
				synctest.Wait()
				startedAt := time.Now()
				var all sync.WaitGroup
				for i := range tc.claims {
					all.Go(func() {
						time.Sleep(time.Duration(i) * time.Second / time.Duration(tc.claims))
						key := fmt.Sprint("claim/", i)
						txn := tabler.Txn{Checks: []tabler.Check{{Key: key}}, Puts: []tabler.Put{{Key: key}}}
						if err := c.CommitBatched(ctx, txn); err != nil {
							t.Error(err)
						}
					})
				}
				all.Wait()
				if n := table.commits.Load(); n > int64(tc.maxCommits) {
					t.Errorf("%d transactions for %d claims in %s, want at most %d", n, tc.claims, time.Since(startedAt), tc.maxCommits)
				}
				if took := time.Since(startedAt); tc.claims == 1 && took > 6*time.Millisecond {
					t.Errorf("a single claim took %s", took)
				}
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}

// BenchmarkCommitBatched measures the cost of a claim in the batcher, with a table in memory.
func BenchmarkCommitBatched(b *testing.B) {
	c := &claimer.Claimer{Self: "i", Table: &tabler.Memory{}, Gone: func(string) bool { return false }}
	go c.Run(b.Context())
	var serial atomic.Int64
	b.SetParallelism(64)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			key := fmt.Sprint("claim/", serial.Add(1))
			if err := c.CommitBatched(b.Context(), tabler.Txn{Checks: []tabler.Check{{Key: key}}, Puts: []tabler.Put{{Key: key}}}); err != nil {
				b.Error(err)
			}
		}
	})
}
