package publisher

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/sardinetiller/sardinetiller/internal/platform/storer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/setting/parser"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// A Publisher writes and reads revisions. Its fields are set before use.
type Publisher struct {
	Store storer.Store
	Table tabler.Table
	Token func() string // returns a unique token for each attempt
}

// An Edit is a tree to publish as the next revision.
type Edit struct {
	Files  map[string][]byte
	Base   uint64 // revision that the edit is based on
	Author string
	Note   string
}

// A ConflictError reports that an edit is based on a revision that is no longer
// active.
type ConflictError struct {
	Base    uint64
	Head    uint64
	Changes []Change // changes published after Base
}

// Error implements error.
func (e *ConflictError) Error() string {
	var files []string
	for _, c := range e.Changes {
		files = append(files, fmt.Sprintf("%s (revision %d)", c.File, c.Revision))
	}
	return fmt.Sprintf("made on revision %d, but revision %d is in force; changed since: %s", e.Base, e.Head, strings.Join(files, ", "))
}

// confirmAttempts and confirmInterval are the maximum number of read-backs after
// a lost response and the interval between them.
const (
	confirmAttempts = 20
	confirmInterval = 250 * time.Millisecond
)

// Apply validates an edit and publishes it as the active revision. It returns the
// new revision, a *parser.InvalidError, a *ConflictError, or the error of the
// platform.
func (p *Publisher) Apply(ctx context.Context, edit Edit) (uint64, error) {
	if _, err := parser.Parse(edit.Files); err != nil {
		return 0, err
	}
	head, row, err := p.Head(ctx)
	if err != nil {
		return 0, err
	}
	if head.Revision != edit.Base {
		return 0, p.conflict(ctx, edit.Base, head)
	}
	before, err := p.Manifest(ctx, head.Manifest)
	if err != nil {
		return 0, err
	}
	next, txn, err := p.prepare(ctx, edit, head, row, before)
	if err != nil {
		return 0, err
	}
	return p.commit(ctx, edit, next, txn)
}

// Entry returns one revision of the history.
func (p *Publisher) Entry(ctx context.Context, revision uint64) (Entry, error) {
	row, err := p.Table.Get(ctx, revisionKey(revision))
	if err != nil {
		return Entry{}, err
	}
	if row.Version == 0 {
		return Entry{}, fmt.Errorf("there is no revision %d", revision)
	}
	var entry Entry
	err = encoder.Unmarshal(row.Value, &entry)
	return entry, err
}

// File returns the content of a file by digest.
func (p *Publisher) File(ctx context.Context, digest string) ([]byte, error) {
	return Fetch(ctx, p.Store, digest)
}

// Fetch returns the content of a file from a store and verifies its digest.
func Fetch(ctx context.Context, store storer.Store, digest string) ([]byte, error) {
	data, err := store.Get(ctx, prefixFile+digest)
	if err != nil {
		return nil, err
	}
	if Digest(data) != digest {
		return nil, fmt.Errorf("object %s: content does not match the digest", digest)
	}
	return data, nil
}

// Head returns the head of the active revision and its row.
func (p *Publisher) Head(ctx context.Context) (Head, tabler.Row, error) {
	row, err := p.Table.Get(ctx, KeyHead)
	if err != nil || row.Version == 0 {
		return Head{}, row, err
	}
	var head Head
	err = encoder.Unmarshal(row.Value, &head)
	return head, row, err
}

// History returns the revisions, the oldest first.
func (p *Publisher) History(ctx context.Context) ([]Entry, error) {
	rows, err := p.Table.Scan(ctx, keyRevision)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, len(rows))
	for i, row := range rows {
		if err := encoder.Unmarshal(row.Value, &entries[i]); err != nil {
			return nil, errors.Wrap(err, row.Key)
		}
	}
	return entries, nil
}

// Manifest returns a manifest by digest. The empty digest is the empty tree.
func (p *Publisher) Manifest(ctx context.Context, digest string) (Manifest, error) {
	return FetchManifest(ctx, p.Store, digest)
}

// FetchManifest returns a manifest from a store and verifies its digest.
func FetchManifest(ctx context.Context, store storer.Store, digest string) (Manifest, error) {
	manifest := make(Manifest)
	if digest == "" {
		return manifest, nil
	}
	data, err := store.Get(ctx, prefixManifest+digest)
	if err != nil {
		return nil, errors.Wrap(err, "manifest")
	}
	if Digest(data) != digest {
		return nil, fmt.Errorf("manifest %s: content does not match the digest", digest)
	}
	err = encoder.Unmarshal(data, &manifest)
	return manifest, err
}

// Tree returns the files of a manifest.
func (p *Publisher) Tree(ctx context.Context, manifest Manifest) (map[string][]byte, error) {
	files := make(map[string][]byte, len(manifest))
	for _, name := range slices.Sorted(maps.Keys(manifest)) {
		data, err := p.File(ctx, manifest[name])
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		files[name] = data
	}
	return files, nil
}

func (p *Publisher) commit(ctx context.Context, edit Edit, next Head, txn tabler.Txn) (uint64, error) {
	err := p.Table.Commit(ctx, txn)
	var conflict *tabler.ConflictError
	var unknown *tabler.UnknownError
	switch {
	case err == nil:
		return next.Revision, nil
	case errors.As(err, &conflict):
		head, _, readErr := p.Head(ctx)
		if readErr != nil {
			return 0, readErr
		}
		return 0, p.conflict(ctx, edit.Base, head)
	case errors.As(err, &unknown):
		return p.confirm(ctx, edit, next, err)
	default:
		return 0, err
	}
}

func (p *Publisher) conflict(ctx context.Context, base uint64, head Head) error {
	conflict := &ConflictError{Base: base, Head: head.Revision}
	entries, err := p.History(ctx)
	if err != nil {
		return conflict // the conflict is certain; only the list of changes is missing
	}
	for _, e := range entries {
		if e.Revision > base {
			conflict.Changes = append(conflict.Changes, e.Changes...)
		}
	}
	return conflict
}

// prepare stores the objects and returns the transaction that publishes them.
// Objects of an edit that is never accepted are harmless: nothing refers to them.
func (p *Publisher) prepare(ctx context.Context, edit Edit, head Head, row tabler.Row, before Manifest) (Head, tabler.Txn, error) {
	manifest := ManifestOf(edit.Files)
	changes := before.Diff(manifest, head.Revision+1)
	for _, c := range changes {
		if c.Digest == "" {
			continue
		}
		if err := p.Store.Put(ctx, prefixFile+c.Digest, edit.Files[c.File]); err != nil {
			return Head{}, tabler.Txn{}, errors.Wrap(err, c.File)
		}
	}
	data, err := encoder.Marshal(manifest)
	if err != nil {
		return Head{}, tabler.Txn{}, err
	}
	digest := Digest(data)
	if err := p.Store.Put(ctx, prefixManifest+digest, data); err != nil {
		return Head{}, tabler.Txn{}, errors.Wrap(err, "manifest")
	}
	next := head.next(digest, p.Token(), changes)
	txn, err := newTxn(edit, next, row, changes)
	return next, txn, err
}

// confirm reads back whether a commit whose response was lost took effect. If a
// later revision is already active, it checks the history.
func (p *Publisher) confirm(ctx context.Context, edit Edit, next Head, cause error) (uint64, error) {
	for range confirmAttempts {
		head, _, err := p.Head(ctx)
		switch {
		case err != nil:
		case head.Token == next.Token:
			return next.Revision, nil
		case head.Revision > edit.Base:
			return p.confirmByHistory(ctx, edit, next, head)
		}
		select {
		case <-ctx.Done():
			return 0, cause
		case <-time.After(confirmInterval):
		}
	}
	return 0, cause
}

func (p *Publisher) confirmByHistory(ctx context.Context, edit Edit, next, head Head) (uint64, error) {
	entry, err := p.Entry(ctx, next.Revision)
	if err != nil {
		return 0, err
	}
	if entry.Manifest == next.Manifest && entry.Author == edit.Author && entry.Note == edit.Note {
		return next.Revision, nil
	}
	return 0, p.conflict(ctx, edit.Base, head)
}

func revisionKey(revision uint64) string {
	return fmt.Sprintf("%s%012d", keyRevision, revision)
}

func newTxn(edit Edit, next Head, row tabler.Row, changes []Change) (tabler.Txn, error) {
	head, err := encoder.Marshal(next)
	if err != nil {
		return tabler.Txn{}, err
	}
	entry, err := encoder.Marshal(Entry{
		Revision: next.Revision, Manifest: next.Manifest, Author: edit.Author,
		Note: edit.Note, Time: time.Now().UTC(), Changes: changes,
	})
	if err != nil {
		return tabler.Txn{}, err
	}
	return tabler.Txn{
		Checks: []tabler.Check{{Key: KeyHead, Version: row.Version}},
		Puts:   []tabler.Put{{Key: KeyHead, Value: head}, {Key: revisionKey(next.Revision), Value: entry}},
	}, nil
}
