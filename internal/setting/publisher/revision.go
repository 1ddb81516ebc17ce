package publisher

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// Keys of the rows and objects of the settings, and the number of revisions whose
// changes a Head lists.
const (
	KeyHead            = "setting/head"
	keyRevision        = "setting/revision/"
	prefixFile         = "setting/file/"
	prefixManifest     = "setting/manifest/"
	maxRecentRevisions = 16
)

// A Change is one file that a revision added, changed or removed.
type Change struct {
	Revision uint64 `cbor:"1,keyasint" json:"revision" yaml:"revision"`
	File     string `cbor:"2,keyasint" json:"file" yaml:"file"`
	Digest   string `cbor:"3,keyasint" json:"digest" yaml:"digest"` // empty if removed
}

// A Head identifies the active revision and lists the changes of the latest
// revisions.
type Head struct {
	Revision uint64   `cbor:"1,keyasint"`
	Manifest string   `cbor:"2,keyasint"` // digest of the manifest object
	Token    string   `cbor:"3,keyasint"` // of the attempt that wrote it
	Since    uint64   `cbor:"4,keyasint"` // Recent has every change after this revision
	Recent   []Change `cbor:"5,keyasint"`
}

// An Entry is one revision in the history.
type Entry struct {
	Revision uint64    `cbor:"1,keyasint" json:"revision" yaml:"revision"`
	Manifest string    `cbor:"2,keyasint" json:"manifest" yaml:"manifest"`
	Author   string    `cbor:"3,keyasint" json:"author" yaml:"author"`
	Note     string    `cbor:"4,keyasint" json:"note" yaml:"note"`
	Time     time.Time `cbor:"5,keyasint" json:"time" yaml:"time"`
	Changes  []Change  `cbor:"6,keyasint" json:"changes" yaml:"changes"`
}

// A Manifest maps the files of a tree to their digests.
type Manifest map[string]string

// Digest returns the SHA-256 of data in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// ManifestOf returns the manifest of a tree's files.
func ManifestOf(files map[string][]byte) Manifest {
	m := make(Manifest, len(files))
	for name, data := range files {
		m[name] = Digest(data)
	}
	return m
}

// Digest returns the digest of the encoded manifest.
func (m Manifest) Digest() string {
	data, err := encoder.Marshal(m)
	if err != nil {
		return "" // unreachable: encoding a map of strings does not fail
	}
	return Digest(data)
}

// Diff returns the changes from m to next: changed and added files in order of
// their names, then removed ones.
func (m Manifest) Diff(next Manifest, revision uint64) []Change {
	var changes []Change
	for _, file := range slices.Sorted(maps.Keys(next)) {
		if m[file] != next[file] {
			changes = append(changes, Change{Revision: revision, File: file, Digest: next[file]})
		}
	}
	for _, file := range slices.Sorted(maps.Keys(m)) {
		if _, kept := next[file]; !kept {
			changes = append(changes, Change{Revision: revision, File: file})
		}
	}
	return changes
}

// Patch returns a copy of m with the changes of revisions after since applied.
func (m Manifest) Patch(changes []Change, since uint64) Manifest {
	next := maps.Clone(m)
	for _, c := range changes {
		switch {
		case c.Revision <= since:
		case c.Digest == "":
			delete(next, c.File)
		default:
			next[c.File] = c.Digest
		}
	}
	return next
}

// next returns the head of the next revision.
func (h Head) next(manifest, token string, changes []Change) Head {
	n := Head{Revision: h.Revision + 1, Manifest: manifest, Token: token, Since: h.Since}
	if n.Revision > maxRecentRevisions {
		n.Since = max(n.Since, n.Revision-maxRecentRevisions)
	}
	for _, c := range append(slices.Clone(h.Recent), changes...) {
		if c.Revision > n.Since {
			n.Recent = append(n.Recent, c)
		}
	}
	return n
}

// Objects returns the objects of a tree, including the manifest, by their keys in
// the store.
func Objects(manifest Manifest, files map[string][]byte) map[string][]byte {
	objects := make(map[string][]byte, len(files)+1)
	for name, digest := range manifest {
		objects[prefixFile+digest] = files[name]
	}
	if data, err := encoder.Marshal(manifest); err == nil {
		objects[prefixManifest+Digest(data)] = data
	}
	return objects
}
