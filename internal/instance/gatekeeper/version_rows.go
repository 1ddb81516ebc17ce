package gatekeeper

import (
	"context"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/hasher"
	"github.com/sardinetiller/sardinetiller/internal/request/matcher"
	"github.com/sardinetiller/sardinetiller/internal/request/resumer"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// The software versions that the runners of a service have had lately are kept in the table of the
// leaders, one row each. After a restart of all instances they say whether a stream that nobody
// remembers can have begun at one version only.

// versionKeyPrefix starts the keys of these rows. No failure domain has such a name.
const versionKeyPrefix = "version/"

// versionMemory is how long a version counts after its last runner has gone: as long as a stream
// that began there may be taken up.
const versionMemory = resumer.MaxLeft

const (
	// versionRowInterval is how often a leader checks the rows, and how much longer each further
	// leader waits for the others to write one.
	versionRowInterval = time.Second
	// versionRowRepeat is how long a leader waits to see a row that it has written.
	versionRowRepeat = 5 * time.Second
)

// A versionRow is the content of a row.
type versionRow struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
}

func (r versionRow) key() string {
	sum := hasher.Of(r.Service, r.Version)
	return tableLeaders + "/" + versionKeyPrefix + hex.EncodeToString(sum[:])
}

// versionRows is what one instance knows of the rows.
type versionRows struct {
	mu        sync.Mutex
	stored    map[string]versionRow // by key
	eras      map[string]uint64     // era of the store in which a row was last read, by key
	missing   map[string]time.Time  // since when a row has been missing, by key
	writtenAt map[string]time.Time  // when this instance last wrote or deleted a row, by key
}

// ofService returns the versions of a service that have rows.
func (v *versionRows) ofService(service string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var versions []string
	for _, r := range v.stored {
		if r.Service == service {
			versions = append(versions, r.Version)
		}
	}
	return versions
}

// several reports whether a service has rows of several versions.
func (v *versionRows) several() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	versions := make(map[string]string) // by service
	for _, r := range v.stored {
		if other, known := versions[r.Service]; known && other != r.Version {
			return true
		}
		versions[r.Service] = r.Version
	}
	return false
}

// applyVersionRow applies a row that was read from the store.
func (g *Gatekeeper) applyVersionRow(r tabler.Row) {
	v := &g.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stored == nil {
		v.stored, v.eras = make(map[string]versionRow), make(map[string]uint64)
	}
	if r.Deleted {
		delete(v.stored, r.Key)
		delete(v.eras, r.Key)
		return
	}
	var row versionRow
	if err := encoder.Unmarshal(r.Value, &row); err != nil {
		g.Recorder.Log(recorder.View, "msg", "malformed version row", "row", r.Key, "err", err)
		return
	}
	v.stored[r.Key] = row
	v.eras[r.Key] = max(v.eras[r.Key], tabler.Era(r.Version))
}

// onlyVersion returns the only software version that the runners of a service have had lately, as far
// as this instance knows; ok is false if there were several, or no row says so yet.
func (g *Gatekeeper) onlyVersion(service string, now time.Time) (version string, ok bool) {
	stored := g.versions.ofService(service)
	if len(stored) != 1 {
		return "", false
	}
	seen := g.Fleet.Versions(service, versionMemory, now)
	delete(seen, stored[0])
	return stored[0], len(seen) == 0
}

// knownVersions returns the software versions that the runners of a service have had lately, as far
// as this instance knows; none if it does not know the rows yet.
func (g *Gatekeeper) knownVersions(service string, now time.Time) []string {
	versions := g.Fleet.Versions(service, versionMemory, now)
	stored := g.versions.ofService(service)
	if len(stored) == 0 && len(versions) == 1 {
		return nil
	}
	for _, v := range stored {
		versions[v] = true
	}
	return slices.Sorted(maps.Keys(versions))
}

// maintainVersionRows writes the rows, where this instance is a leader, until ctx ends.
func (g *Gatekeeper) maintainVersionRows(ctx context.Context) {
	began := time.Now()
	repeater.Every(ctx, versionRowInterval, nil, func() {
		catalog := g.catalog.Load()
		if catalog == nil {
			return
		}
		now := time.Now()
		sinceStart := now.Sub(began)
		g.forgetLostVersions(catalog, sinceStart, now)
		rank := g.leaderRank()
		if rank < 0 || g.skipStoreCall() {
			return
		}
		txn := g.dueVersionRows(catalog, time.Duration(rank)*versionRowInterval, now)
		if sinceStart > versionMemory {
			txn.Deletes = g.versions.outdated(g.versionsInUse(catalog, versionMemory, now), now)
		}
		if len(txn.Puts)+len(txn.Deletes) == 0 {
			return
		}
		_, err := g.Store.Write(ctx, txn)
		g.recordStoreCall(now, err)
		g.Recorder.Log(recorder.View, "msg", "software versions written", "new", len(txn.Puts), "gone", len(txn.Deletes), "err", err)
		g.versions.written(txn, err == nil, now)
	})
}

// forgetLostVersions forgets rows that the store had in an earlier era only, of versions that no runner
// has had lately. They need not be deleted.
func (g *Gatekeeper) forgetLostVersions(catalog *matcher.Catalog, sinceStart time.Duration, now time.Time) {
	lost := g.versions.lost(tabler.Era(g.leaders.upTo()))
	if len(lost) == 0 || sinceStart <= versionMemory {
		return
	}
	used := g.versionsInUse(catalog, versionMemory, now)
	for key := range lost {
		if _, ok := used[key]; !ok {
			g.versions.forget(key)
		}
	}
}

// dueVersionRows returns a transaction that writes the missing rows: those of versions in use, and those
// that the store had in an earlier era only, before it returned from a copy without them.
func (g *Gatekeeper) dueVersionRows(catalog *matcher.Catalog, patience time.Duration, now time.Time) tabler.Txn {
	era := tabler.Era(g.leaders.upTo())
	wanted := g.versionsInUse(catalog, 0, now)
	maps.Copy(wanted, g.versions.lost(era))
	return g.versions.due(wanted, era, patience, now)
}

// lost returns the rows that were last read in an era before the given one, in which the whole table
// has been read.
func (v *versionRows) lost(era uint64) map[string]versionRow {
	v.mu.Lock()
	defer v.mu.Unlock()
	lost := make(map[string]versionRow)
	for key, row := range v.stored {
		if v.eras[key] < era {
			lost[key] = row
		}
	}
	return lost
}

func (v *versionRows) forget(key string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.stored, key)
	delete(v.eras, key)
}

// versionsInUse returns the versions that runners have, or have had within a time, of services whose
// streams may be resumed.
func (g *Gatekeeper) versionsInUse(catalog *matcher.Catalog, within time.Duration, now time.Time) map[string]versionRow {
	used := make(map[string]versionRow)
	for _, route := range catalog.Routes {
		if route.Kind != matcher.Streaming || !route.Resumable {
			continue
		}
		for _, share := range route.Shares {
			for version := range g.Fleet.Versions(share.Service, within, now) {
				row := versionRow{share.Service, version}
				used[row.key()] = row
			}
		}
	}
	return used
}

// due returns a transaction that writes the rows that have been missing for a time. A row counts as
// stored in the era in which it was read.
func (v *versionRows) due(used map[string]versionRow, era uint64, patience time.Duration, now time.Time) (txn tabler.Txn) {
	v.mu.Lock()
	defer v.mu.Unlock()
	missing := make(map[string]time.Time)
	for key, row := range used {
		if _, stored := v.stored[key]; stored && v.eras[key] >= era {
			continue
		}
		since, known := v.missing[key]
		if !known {
			since = now
		}
		missing[key] = since
		if now.Sub(since) < patience || now.Sub(v.writtenAt[key]) < versionRowRepeat || len(txn.Puts) == maxRowsPerWrite/2 {
			continue
		}
		value, err := encoder.Marshal(row)
		if err != nil {
			panic(err) // texts can always be encoded
		}
		txn.Puts = append(txn.Puts, tabler.Put{Key: key, Value: value})
	}
	v.missing = missing
	return txn
}

// outdated returns the keys of rows of versions that no runner has had lately.
func (v *versionRows) outdated(used map[string]versionRow, now time.Time) (keys []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for key := range v.stored {
		if _, ok := used[key]; !ok && now.Sub(v.writtenAt[key]) >= versionRowRepeat && len(keys) < maxRowsPerWrite/2 {
			keys = append(keys, key)
		}
	}
	return keys
}

// written records a transaction. One that failed is repeated at the next check.
func (v *versionRows) written(txn tabler.Txn, ok bool, now time.Time) {
	if !ok {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.writtenAt == nil {
		v.writtenAt = make(map[string]time.Time)
	}
	for _, put := range txn.Puts {
		v.writtenAt[put.Key] = now
	}
	for _, key := range txn.Deletes {
		v.writtenAt[key] = now
	}
}
