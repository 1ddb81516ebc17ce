package gatekeeper

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// down reports whether the store serves no instance.
func (s *feedStore) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode != serves
}

// A storeClient is the connection of one instance to the store.
type storeClient struct {
	*feedStore
	member *member

	mu   sync.Mutex
	mode storeMode
}

func (c *storeClient) set(mode storeMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode = mode
}

func (c *storeClient) admit(ctx context.Context, wait time.Duration) error {
	c.member.awaitResumed(ctx)
	c.mu.Lock()
	mode := c.mode
	c.mu.Unlock()
	switch mode {
	case rejects:
		pause(ctx, time.Millisecond)
		return fmt.Errorf("rejected")
	case hangs:
		pause(ctx, wait+callTimeout)
		return errNoAnswer
	default:
		return ctx.Err()
	}
}

// Scan implements tabler.Feed.
func (c *storeClient) Scan(ctx context.Context, table string) ([]tabler.Row, uint64, error) {
	if err := c.admit(ctx, 0); err != nil {
		return nil, 0, err
	}
	rows, version, err := c.feedStore.Scan(ctx, table)
	c.member.awaitResumed(ctx)
	rows = slices.DeleteFunc(rows, func(r tabler.Row) bool { return r.Deleted })
	return rows, version, err
}

// Get implements tabler.Feed.
func (c *storeClient) Get(ctx context.Context, key string) (tabler.Row, error) {
	if err := c.admit(ctx, 0); err != nil {
		return tabler.Row{}, err
	}
	return c.feedStore.Get(ctx, key)
}

// Watch implements tabler.Feed.
func (c *storeClient) Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]tabler.Row, uint64, error) {
	if err := c.admit(ctx, wait); err != nil {
		return nil, 0, err
	}
	rows, version, err := c.feedStore.Watch(ctx, table, after, wait)
	c.member.awaitResumed(ctx)
	slices.SortFunc(rows, func(a, b tabler.Row) int { return int(a.Version) - int(b.Version) })
	return rows, version, err
}

// A simDecoder decodes the rows of a simulated deployment.
type simDecoder struct{ feedDecoder }

// Runner implements Decoder.
func (simDecoder) Runner(r tabler.Row) (tracker.Runner, error) {
	runner := tracker.Runner{ID: r.Key[len("runners/"):], Revision: r.Version}
	if r.Deleted {
		return runner, nil
	}
	err := encoder.Unmarshal(r.Value, &runner)
	runner.Revision = r.Version
	return runner, err
}
