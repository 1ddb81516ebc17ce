// Package watcher keeps the active settings revision of one instance.
//
// A Watcher accepts a head from any source: the table service, or peers of its
// own or another failure domain. It activates only a higher revision than the
// active one, so that settings never revert, and only a valid tree. It fetches
// only the files that changed.
package watcher

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/sardinetiller/sardinetiller/internal/platform/storer"
	"github.com/sardinetiller/sardinetiller/internal/setting/parser"
	"github.com/sardinetiller/sardinetiller/internal/setting/publisher"
	"github.com/sardinetiller/sardinetiller/internal/setting/resolver"
)

// An ActiveRevision is the revision in use and the index of its tree.
type ActiveRevision struct {
	Head     publisher.Head
	Resolver *resolver.Resolver
	Since    time.Time // when this instance activated it
}

// A Watcher holds the active revision. It is safe for concurrent use. Store is
// set before use.
type Watcher struct {
	Store storer.Store // source of the objects; may fall back to peers

	active   atomic.Pointer[ActiveRevision]
	mu       sync.Mutex
	files    map[string][]byte
	manifest publisher.Manifest
	objects  map[string][]byte // by key, for peers that cannot reach the store
}

// Active returns the active revision, or nil if there is none yet.
func (w *Watcher) Active() *ActiveRevision { return w.active.Load() }

// Object returns the object with the key if it belongs to the active revision.
func (w *Watcher) Object(key string) ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	data, ok := w.objects[key]
	return data, ok
}

// Offer handles a head received from any source. It returns whether the head
// became the active revision.
func (w *Watcher) Offer(ctx context.Context, head publisher.Head) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.Active()
	if head.Revision == 0 || (current != nil && head.Revision <= current.Head.Revision) {
		return false, nil
	}
	manifest, err := w.manifestOf(ctx, head, current)
	if err != nil {
		return false, err
	}
	files, err := w.fetch(ctx, manifest)
	if err != nil {
		return false, err
	}
	tree, err := parser.Parse(files)
	if err != nil {
		return false, errors.Wrapf(err, "revision %d", head.Revision)
	}
	w.setContents(manifest, files)
	w.active.Store(&ActiveRevision{Head: head, Resolver: resolver.New(tree), Since: time.Now()})
	return true, nil
}

// Revision returns the number of the active revision, or 0 if there is none.
func (w *Watcher) Revision() uint64 {
	if active := w.Active(); active != nil {
		return active.Head.Revision
	}
	return 0
}

func (w *Watcher) fetch(ctx context.Context, manifest publisher.Manifest) (map[string][]byte, error) {
	files := make(map[string][]byte, len(manifest))
	for name, digest := range manifest {
		if w.manifest[name] == digest {
			files[name] = w.files[name]
			continue
		}
		data, err := publisher.Fetch(ctx, w.Store, digest)
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		files[name] = data
	}
	return files, nil
}

func (w *Watcher) setContents(manifest publisher.Manifest, files map[string][]byte) {
	w.manifest = manifest
	w.files = files
	w.objects = publisher.Objects(manifest, files)
}

// manifestOf returns the manifest of a head. It patches the active manifest if
// the changes in the head reach back to the active revision and the digest
// confirms the result; otherwise it fetches the manifest.
func (w *Watcher) manifestOf(ctx context.Context, head publisher.Head, current *ActiveRevision) (publisher.Manifest, error) {
	if current != nil && current.Head.Revision >= head.Since {
		patched := w.manifest.Patch(head.Recent, current.Head.Revision)
		if patched.Digest() == head.Manifest {
			return patched, nil
		}
	}
	manifest, err := publisher.FetchManifest(ctx, w.Store, head.Manifest)
	return maps.Clone(manifest), err
}
