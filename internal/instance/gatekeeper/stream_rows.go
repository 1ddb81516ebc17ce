package gatekeeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
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
	// streamRowInterval is the minimum time between two writes of the row of an instance.
	streamRowInterval = 250 * time.Millisecond
	// maxStreamRowWrites is how many rows all instances together write a second. The store writes the rows of
	// one part of a table one after another.
	maxStreamRowWrites = 60
	// maxRowRecords bounds the records in a row, those of the newest streams.
	maxRowRecords = 600
	// maxRowVersion is the length in bytes up to which a version is kept, so that a row is within the limit of
	// the store of 64 KB, whatever the versions are.
	maxRowVersion = 64
	// streamRowsPause is the minimum time between two reads of all rows: callers can name streams that never were.
	streamRowsPause = 10 * time.Second
	// streamRowsTimeout bounds a read of all rows.
	streamRowsTimeout = 5 * time.Second
	// maxRowAge is the age from which on a row is deleted by an instance that reads it. It exceeds what the clocks
	// of the instances may differ by.
	maxRowAge = time.Hour
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
// long as the runners of each service have one version, there is nothing to keep.
func (g *Gatekeeper) storeStreams(records []resumer.Record, now time.Time) {
	if !g.versions.several() {
		return
	}
	first := slices.DeleteFunc(slices.Clone(records), func(r resumer.Record) bool { return !g.streams.isFirstHolder(r.Key, g.Config.ID) })
	g.storedStreams.add(first, now)
}

// A streamRowWriter writes the row of one instance.
type streamRowWriter struct {
	*Gatekeeper

	key       string
	carried   bool      // the streams in the row of an earlier process have been taken over
	added     int       // streams that were in the store as of the last write
	writtenAt time.Time // when that was
}

// keepStreamRow keeps the row of this instance until ctx ends.
func (g *Gatekeeper) keepStreamRow(ctx context.Context) {
	w := &streamRowWriter{Gatekeeper: g, key: tableStreams + "/" + g.Config.ID}
	repeater.Every(ctx, streamRowInterval, nil, func() {
		now := time.Now()
		writers := min(g.Members(), resumer.HoldersPerDomain*len(g.domains()))
		if now.Sub(w.writtenAt) >= time.Duration(writers)*time.Second/maxStreamRowWrites {
			w.write(ctx, now)
		}
	})
}

// write writes the row if streams have been added since the last write.
func (w *streamRowWriter) write(ctx context.Context, now time.Time) {
	if _, added := w.storedStreams.row(now); added == w.added || w.skipStoreCall() || !w.carry(ctx) {
		return
	}
	row, added := w.storedStreams.row(now)
	value, err := encoder.Marshal(row)
	if err != nil {
		panic(err) // texts and numbers can always be encoded
	}
	w.writtenAt = now
	_, err = w.Store.Write(ctx, tabler.Txn{Puts: []tabler.Put{{Key: w.key, Value: value}}})
	w.recordStoreCall(now, err)
	if err != nil {
		w.Recorder.Log(recorder.View, "msg", "streams not written to the store", "err", err)
		return
	}
	w.added = added
}

// carry takes over the streams in the row of an earlier process of this instance, which the next write would
// drop. It returns false if the row could not be read.
func (w *streamRowWriter) carry(ctx context.Context) bool {
	if w.carried {
		return true
	}
	stored, err := w.Store.Get(ctx, w.key)
	if err != nil {
		w.Recorder.Log(recorder.View, "msg", "streams not read from the store", "err", err)
		return false
	}
	w.carried = true
	row, _ := w.decodeStreamRow(stored)
	w.streams.ledger.Add(row.Records, time.Now())
	w.storedStreams.add(row.Records, time.Now())
	return true
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

// streamRowReader is the state of reading the rows of all instances, once at a time. Its zero value is ready.
type streamRowReader struct {
	mu      sync.Mutex
	readAt  time.Time     // when they were last read
	reading chan struct{} // closed when they have been read; nil if they are not being read
}

// readStreamRows begins to read the rows of all instances, unless that has just been done. The channel is closed
// once they have been read, or cannot be.
func (g *Gatekeeper) readStreamRows(now time.Time) <-chan struct{} {
	r := &g.streamRows
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reading != nil {
		return r.reading
	}
	done := make(chan struct{})
	if !r.readAt.IsZero() && now.Sub(r.readAt) < streamRowsPause || g.skipStoreCall() {
		close(done)
		return done
	}
	r.reading = done
	go func() {
		defer close(done)
		defer g.Recorder.Recover("streams", "", nil)
		ctx, cancel := context.WithTimeout(context.Background(), streamRowsTimeout)
		defer cancel()
		err := g.addStreamRows(ctx)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reading = nil
		if err == nil {
			r.readAt = time.Now()
		}
	}()
	return done
}

// addStreamRows reads the rows of all instances, and deletes those of instances that have long gone.
func (g *Gatekeeper) addStreamRows(ctx context.Context) error {
	began, records := time.Now(), 0
	rows, _, err := g.Store.Scan(ctx, tableStreams)
	g.recordStoreCall(began, err)
	var outdated []string
	for _, stored := range rows {
		row, ok := g.decodeStreamRow(stored)
		g.streams.ledger.Add(row.Records, time.Now())
		records += len(row.Records)
		if age := time.Since(time.Unix(row.Written, 0)).Abs(); ok && age > maxRowAge && len(outdated) < maxRowsPerWrite {
			outdated = append(outdated, stored.Key)
		}
	}
	g.Recorder.Log(recorder.View, "msg", "streams read from the store", "rows", len(rows), "streams", records, "took", time.Since(began), "err", err)
	if len(outdated) > 0 {
		if _, err := g.Store.Write(ctx, tabler.Txn{Deletes: outdated}); err != nil {
			g.Recorder.Log(recorder.View, "msg", "outdated rows of streams not deleted", "err", err)
		}
	}
	return err
}
