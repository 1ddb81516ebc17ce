package gatekeeper

import (
	"slices"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/resumer"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// The records of streams survive a restart of all instances in the store. While the runners of a service have
// several software versions, the first holder of a stream keeps its record in a row of its own, so that the writers are
// a few instances of each failure domain. The rows are read only when a stream is taken up of which no instance
// has a record. A record that is missing there, as it is too new, or as the store was away or has returned from an
// older copy, makes a stream end, not go on at another version.

// tableStreams is the table of these rows, which no instance watches. The key is the ID of the instance.
const tableStreams = "streams"

const (
	// maxRowRecords bounds the records in a row, those of the newest streams.
	maxRowRecords = 600
	// maxRowVersion is the length in bytes up to which a version is kept, so that a row is within the limit of
	// the store of 64 KB, whatever the versions are.
	maxRowVersion = 64
)

// A streamRow is the content of a row.
type streamRow struct {
	Records []resumer.Record `cbor:"1,keyasint"`
	Written int64            `cbor:"2,keyasint"` // when, in Unix seconds
}

// storedStreams are the streams whose records an instance keeps in the store. Its zero value is ready; it is safe
// for concurrent use.
type storedStreams struct {
	mu      sync.Mutex
	added   int // streams that were added so far
	streams []storedStream
}

// A storedStream is a stream whose record is kept in the store.
type storedStream struct {
	key     resumer.Key
	version string
	until   time.Time // when its caller has given up
}

// add adds streams, and drops the oldest ones beyond the limit.
func (s *storedStreams) add(records []resumer.Record, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		if len(r.Version) <= maxRowVersion {
			s.added++
			s.streams = append(s.streams, storedStream{r.Key, r.Version, now.Add(min(r.Left, resumer.MaxLeft))})
		}
	}
	s.streams = slices.Delete(s.streams, 0, max(0, len(s.streams)-maxRowRecords))
}

// count returns how many streams were added so far.
func (s *storedStreams) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.added
}

// row returns the content of the row, and how many streams had been added by then.
func (s *storedStreams) row(now time.Time) (row streamRow, added int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams = slices.DeleteFunc(s.streams, func(one storedStream) bool { return !now.Before(one.until) })
	row.Written = now.Unix()
	for _, one := range s.streams {
		row.Records = append(row.Records, resumer.Record{Key: one.key, Version: one.version, Left: one.until.Sub(now)})
	}
	return row, s.added
}

// storeStreams makes the records of streams be kept in the store of which this instance is the first holder. As
// long as the runners of each service have one version, there is nothing to keep. An instance that does not know
// most others, as after a start, would take itself for the first holder of too many.
func (g *Gatekeeper) storeStreams(records []resumer.Record, now time.Time) {
	if !g.versions.several() || !g.MembersKnown() || 2*g.streams.listed() <= g.Members() {
		return
	}
	first := slices.DeleteFunc(slices.Clone(records), func(r resumer.Record) bool { return !g.streams.isFirstHolder(r.Key, g.Config.ID) })
	g.storedStreams.add(first, now)
}

// decodeStreamRow decodes a row; ok is false if there is none, or it is malformed.
func (g *Gatekeeper) decodeStreamRow(stored tabler.Row) (row streamRow, ok bool) {
	if len(stored.Value) == 0 || stored.Deleted {
		return streamRow{}, false
	}
	if err := encoder.Unmarshal(stored.Value, &row); err != nil {
		g.Recorder.Log(recorder.View, "msg", "malformed row of streams", "row", stored.Key, "err", err)
		return streamRow{}, false
	}
	return row, true
}
