// Package watcher keeps the revision in force on one instance.
//
// A Watcher takes a higher revision, wherever it is heard of, and never a lower
// one: from the table service, from peers of its domain, from peers of others.
// It fetches only the files that changed, and a tree that is not valid is never
// put in force.
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

// A Force is a revision in force.
type Force struct {
	Head     publisher.Head
	Resolver *resolver.Resolver
	Since    time.Time // when it came into force here
}

// A Watcher holds the revision in force. It is safe for concurrent use. Store
// is set before use.
type Watcher struct {
	Store storer.Store // where the objects come from; may fall back on peers

	force    atomic.Pointer[Force]
	mu       sync.Mutex
	files    map[string][]byte
	manifest publisher.Manifest
	objects  map[string][]byte // by digest, for peers that cannot reach the store
}

// Force returns the revision in force, or nil if there is none yet.
func (w *Watcher) Force() *Force { return w.force.Load() }

// Object returns the content with the digest if this instance holds it.
func (w *Watcher) Object(key string) ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	data, ok := w.objects[key]
	return data, ok
}

// Offer takes in a head that was heard of. It returns whether the head came
// into force.
func (w *Watcher) Offer(ctx context.Context, head publisher.Head) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.Force()
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
	w.keep(manifest, files)
	w.force.Store(&Force{Head: head, Resolver: resolver.New(tree), Since: time.Now()})
	return true, nil
}

// Revision returns the revision in force, 0 if none.
func (w *Watcher) Revision() uint64 {
	if f := w.Force(); f != nil {
		return f.Head.Revision
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

func (w *Watcher) keep(manifest publisher.Manifest, files map[string][]byte) {
	w.manifest = manifest
	w.files = files
	w.objects = publisher.Objects(manifest, files)
}

// manifestOf works the manifest out from the changes in the head if they reach
// back to the revision in force, and fetches it otherwise. The digest shows
// whether the changes were complete.
func (w *Watcher) manifestOf(ctx context.Context, head publisher.Head, current *Force) (publisher.Manifest, error) {
	if current != nil && current.Head.Revision >= head.Since {
		patched := w.manifest.Patch(head.Recent, current.Head.Revision)
		if patched.Digest() == head.Manifest {
			return patched, nil
		}
	}
	manifest, err := publisher.FetchManifest(ctx, w.Store, head.Manifest)
	return maps.Clone(manifest), err
}
