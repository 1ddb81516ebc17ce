package gatekeeper

import (
	"context"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/resumer"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

const (
	// streamRowInterval is the minimum time between two writes of the row of an instance.
	streamRowInterval = 250 * time.Millisecond
	// maxStreamRowWrites is how many rows all instances together write a second. The store writes the rows of
	// one part of a table one after another.
	maxStreamRowWrites = 60
)

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
	if w.storedStreams.count() == w.added || w.skipStoreCall() || !w.carry(ctx) {
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
