package gatekeeper

import (
	"context"
	"encoding/binary"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
)

// A storeMode is how a feedStore treats the calls that reach it.
type storeMode int

const (
	serves    storeMode = iota
	turnsAway           // answers at once that nothing was done
	swallows            // takes calls and answers none, also later
)

// callTimeout is how long the client of the store awaits an answer beyond what
// it asked the store to wait.
const callTimeout = 1500 * time.Millisecond

var errNoAnswer = errors.New("no answer")

// A feedStore is a store whose calls may go unanswered. A call that it took while
// it served waits on through an outage, as those on a living connection do.
type feedStore struct {
	tabler.Feed // the calls that no test makes

	mu      sync.Mutex
	calls   int
	changed chan struct{} // closed at each change
	mode    storeMode
	rows    map[string]tabler.Row
	version uint64
}

func newFeedStore() *feedStore {
	return &feedStore{changed: make(chan struct{}), rows: make(map[string]tabler.Row)}
}

// configure writes the configuration with a version.
func (s *feedStore) configure(version uint64) {
	s.put(tabler.Row{Key: "operator/config", Value: binary.BigEndian.AppendUint64(nil, version)})
}

func (s *feedStore) put(r tabler.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r.Version = s.version
	s.rows[r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *feedStore) set(mode storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

// admit lets a call in, or returns how it fails.
func (s *feedStore) admit(ctx context.Context, wait time.Duration) error {
	s.mu.Lock()
	s.calls++
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case turnsAway:
		return errors.New("turned away")
	case swallows:
		pause(ctx, wait+callTimeout)
		return errNoAnswer
	default:
		pause(ctx, 4*time.Millisecond)
		return ctx.Err()
	}
}

// Scan implements tabler.Feed.
func (s *feedStore) Scan(ctx context.Context, table string) ([]tabler.Row, uint64, error) {
	if err := s.admit(ctx, 0); err != nil {
		return nil, 0, err
	}
	rows, version, _ := s.since(table, 0)
	return rows, version, nil
}

// Watch implements tabler.Feed.
func (s *feedStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) ([]tabler.Row, uint64, error) {
	if err := s.admit(ctx, wait); err != nil {
		return nil, 0, err
	}
	end := time.After(wait)
	for {
		rows, version, changed := s.since(table, after)
		if len(rows) > 0 {
			return rows, version, nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (s *feedStore) since(table string, after uint64) (rows []tabler.Row, version uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows {
		if strings.HasPrefix(r.Key, table+"/") && r.Version > after {
			rows = append(rows, r)
		}
	}
	return rows, s.version, s.changed
}

// A feedDecoder decodes what a feedStore holds.
type feedDecoder struct{ Decoder }

// Tables implements Decoder.
func (feedDecoder) Tables() (operator, runners string) { return "operator", "runners" }

// Catalog implements Decoder.
func (feedDecoder) Catalog(r tabler.Row) (*matcher.Catalog, bool, error) {
	if r.Key != "operator/config" {
		return nil, false, nil
	}
	return &matcher.Catalog{Version: binary.BigEndian.Uint64(r.Value)}, true, nil
}

// Version implements Decoder.
func (feedDecoder) Version(tabler.Row) (placer.Copy, bool, error) { return placer.Copy{}, false, nil }

// newFedGatekeeper returns an instance on a store that holds version 1 of the
// configuration.
func newFedGatekeeper() (*Gatekeeper, *feedStore) {
	g := newTestGatekeeper()
	s := newFeedStore()
	s.configure(1)
	g.Store, g.Decoder = s, feedDecoder{}
	return g, s
}
