package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

const (
	// streamRowsPause is the minimum time between two reads of all rows: callers can name streams that never were.
	streamRowsPause = 10 * time.Second
	// streamRowsTimeout bounds a read of all rows.
	streamRowsTimeout = 5 * time.Second
	// maxRowAge is the age from which on a row is deleted by an instance that reads it. It exceeds what the clocks
	// of the instances may differ by.
	maxRowAge = time.Hour
)

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
