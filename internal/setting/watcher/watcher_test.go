package watcher_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/sardinetiller/sardinetiller/internal/check/seeder"
	"github.com/sardinetiller/sardinetiller/internal/platform/storer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/setting/parser"
	"github.com/sardinetiller/sardinetiller/internal/setting/publisher"
	"github.com/sardinetiller/sardinetiller/internal/setting/watcher"
)

func TestMain(m *testing.M) { seeder.Main(m) }

// A lossyTable commits each transaction, and drops the response if
// loseResponse returns true.
type lossyTable struct {
	tabler.Memory
	loseResponse func() bool
}

func (l *lossyTable) Commit(ctx context.Context, txn tabler.Txn) error {
	err := l.Memory.Commit(ctx, txn)
	if err == nil && l.loseResponse() {
		return &tabler.UnknownError{Err: errors.New("response lost")}
	}
	return err
}

// A countingStore records the keys of the objects that are read.
type countingStore struct {
	storer.Memory
	gets []string
}

func (c *countingStore) Get(ctx context.Context, key string) ([]byte, error) {
	c.gets = append(c.gets, key)
	return c.Memory.Get(ctx, key)
}

type fixture struct {
	publisher *publisher.Publisher
	store     *countingStore
	table     *lossyTable
}

func newFixture() *fixture {
	f := &fixture{store: &countingStore{}, table: &lossyTable{loseResponse: func() bool { return false }}}
	tokens := 0
	f.publisher = &publisher.Publisher{Store: f.store, Table: f.table, Token: func() string {
		tokens++
		return fmt.Sprint("token-", tokens)
	}}
	return f
}

// newTree returns a valid tree with one account for each deadline, in seconds.
func newTree(seconds ...int) map[string][]byte {
	files := map[string][]byte{"root.yaml": []byte("kind: root\n")}
	for i, s := range seconds {
		name := fmt.Sprintf("account-%d", i)
		files[name+".yaml"] = fmt.Appendf(nil, "kind: account\nname: %s\nvalues: {deadline: %ds}\n", name, s)
	}
	return files
}

func (f *fixture) apply(t testing.TB, base uint64, seconds ...int) {
	t.Helper()
	if _, err := f.publisher.Apply(t.Context(), publisher.Edit{Files: newTree(seconds...), Base: base}); err != nil {
		t.Fatal(err)
	}
}

func (f *fixture) head(t testing.TB) publisher.Head {
	t.Helper()
	head, _, err := f.publisher.Head(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return head
}

func TestConcurrentEditGetsConflict(t *testing.T) {
	f := newFixture()
	f.apply(t, 0, 1, 1)
	f.apply(t, 1, 2, 1)
	_, err := f.publisher.Apply(t.Context(), publisher.Edit{Files: newTree(1, 2), Base: 1})
	var conflict *publisher.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("Apply = %v, want *ConflictError", err)
	}
	if len(conflict.Changes) != 1 || conflict.Changes[0].File != "account-0.yaml" {
		t.Errorf("conflict shows %+v, want account-0.yaml", conflict.Changes)
	}
}

// The table service commits the revision but the response is lost. Reading back
// the attempt's token shows that it is active: Apply must succeed and not report
// a conflict.
func TestLostCommitResponseIsConfirmedByReadingBack(t *testing.T) {
	f := newFixture()
	f.table.loseResponse = func() bool { return true }
	revision, err := f.publisher.Apply(t.Context(), publisher.Edit{Files: newTree(1)})
	if err != nil || revision != 1 {
		t.Errorf("Apply = %d, %v, want 1", revision, err)
	}
}

func TestInvalidTreeIsNotPublished(t *testing.T) {
	f := newFixture()
	_, err := f.publisher.Apply(t.Context(), publisher.Edit{Files: map[string][]byte{"x.yaml": []byte("kind: x\n")}})
	var invalid *parser.InvalidError
	if !errors.As(err, &invalid) || f.head(t).Revision != 0 {
		t.Errorf("Apply = %v at revision %d", err, f.head(t).Revision)
	}
}

func TestWatcherFetchesOnlyChangedFiles(t *testing.T) {
	f := newFixture()
	f.apply(t, 0, 1, 1, 1, 1, 1, 1, 1, 1)
	w := &watcher.Watcher{Store: f.store}
	if _, err := w.Offer(t.Context(), f.head(t)); err != nil {
		t.Fatal(err)
	}
	f.apply(t, 1, 1, 1, 1, 9, 1, 1, 1, 1)
	f.store.gets = nil
	if _, err := w.Offer(t.Context(), f.head(t)); err != nil {
		t.Fatal(err)
	}
	files := slices.DeleteFunc(f.store.gets, func(key string) bool { return !strings.HasPrefix(key, "setting/file/") })
	if len(f.store.gets) != 1 || len(files) != 1 {
		t.Errorf("fetched %v, want only the changed file", f.store.gets)
	}
}

// Edits are made on current and outdated revisions, responses are lost, and
// instances receive heads in any order and repeatedly. Apply must succeed exactly
// for edits of the current revision, no instance may revert to an older revision,
// and in the end all must have the last one, with matching content.
func TestSettingsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		f.table.loseResponse = func() bool { return rapid.Bool().Draw(t, "lose") }
		heads := []publisher.Head{{}}
		watchers := []*watcher.Watcher{{Store: f.store}, {Store: f.store}, {Store: f.store}}
		accepted := uint64(0)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "edit") {
				base := heads[rapid.IntRange(max(0, len(heads)-2), len(heads)-1).Draw(t, "base")].Revision
				files := newTree(rapid.IntRange(1, 9).Draw(t, "x"), rapid.IntRange(1, 9).Draw(t, "y"))
				revision, err := f.publisher.Apply(context.Background(), publisher.Edit{Files: files, Base: base})
				accepted = checkAccepted(t, err, base, revision, accepted)
				head, _, _ := f.publisher.Head(context.Background())
				heads = append(heads, head)
			}
			w := rapid.SampledFrom(watchers).Draw(t, "watcher")
			offer(t, w, rapid.SampledFrom(heads).Draw(t, "head"))
		}
		for _, w := range watchers {
			offer(t, w, heads[len(heads)-1])
			if w.Revision() != accepted {
				t.Fatalf("revision %d is active, want %d", w.Revision(), accepted)
			}
		}
	})
}

func checkAccepted(t *rapid.T, err error, base, revision, accepted uint64) uint64 {
	if err != nil {
		if base == accepted {
			t.Fatalf("edit of the current revision was rejected: %v", err)
		}
		return accepted
	}
	if base != accepted || revision != accepted+1 {
		t.Fatalf("edit of revision %d gave revision %d after %d", base, revision, accepted)
	}
	return revision
}

func offer(t *rapid.T, w *watcher.Watcher, head publisher.Head) {
	before := w.Revision()
	if _, err := w.Offer(context.Background(), head); err != nil {
		t.Fatal(err)
	}
	if w.Revision() < before || w.Revision() < head.Revision {
		t.Fatalf("went from revision %d to %d when offered head %d", before, w.Revision(), head.Revision)
	}
	if active := w.Active(); active != nil {
		manifest, _ := w.Object("setting/manifest/" + active.Head.Manifest)
		if diff := cmp.Diff(active.Head.Manifest, publisher.Digest(manifest)); diff != "" {
			t.Fatal(diff)
		}
	}
}
