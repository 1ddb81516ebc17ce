package identifier

import (
	"crypto/sha256"
	"iter"
	"maps"

	"github.com/go-faster/errors"

	"github.com/sardinetiller/sardinetiller/internal/account/limiter"
)

// An Account is a client account.
type Account struct {
	Name     string
	Limit    limiter.Limit
	Priority *int // overrides the priority of a route; nil: none is set
}

// A Directory finds accounts by key and by name. It is safe for concurrent use once all
// accounts have been added.
type Directory struct {
	byKey  map[digest]*Account
	byName map[string]*Account
}

// A digest is the hash of a key.
type digest [sha256.Size]byte

// Add adds an account with its keys. An account without keys can be found by name only.
func (d *Directory) Add(a Account, keys []string) error {
	if a.Name == "" {
		return errors.New("an account has no name")
	}
	if _, known := d.byName[a.Name]; known {
		return errors.Errorf("account %s is declared twice", a.Name)
	}
	if d.byName == nil {
		d.byKey = make(map[digest]*Account)
		d.byName = make(map[string]*Account)
	}
	d.byName[a.Name] = &a
	for n, key := range keys {
		if !wellFormed([]byte(key)) {
			return errors.Errorf("key %d of account %s is malformed; a key has 1 to %d characters without spaces", n+1, a.Name, maxKeyLength)
		}
		hash := digest(sha256.Sum256([]byte(key)))
		if other, taken := d.byKey[hash]; taken && other.Name != a.Name {
			return errors.Errorf("accounts %s and %s have the same key; give each its own", other.Name, a.Name)
		}
		d.byKey[hash] = &a
	}
	return nil
}

// Named returns an account by its name.
func (d *Directory) Named(name string) (*Account, bool) {
	a, ok := d.byName[name]
	return a, ok
}

// All returns the accounts in no particular order.
func (d *Directory) All() iter.Seq[*Account] { return maps.Values(d.byName) }

// Len returns the number of accounts.
func (d *Directory) Len() int { return len(d.byName) }

// Identify returns the account of a caller by the values of its Authorization header, one
// value for each header line.
func (d *Directory) Identify(values [][]byte) (*Account, Outcome) {
	if len(values) == 0 {
		return nil, Absent
	}
	key, ok := bearer(values[0])
	if !ok || len(values) > 1 {
		return nil, Malformed
	}
	a, ok := d.byKey[sha256.Sum256(key)]
	if !ok {
		return nil, Unknown
	}
	return a, Known
}
