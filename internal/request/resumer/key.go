package resumer

import "github.com/sardinetiller/sardinetiller/internal/request/hasher"

// A Key identifies a stream: the account and the service, and the ID of the attempt that brought the
// caller the first event. It is a hash, so that no caller learns of a stream of another account by
// naming its ID.
type Key hasher.Sum

// KeyOf returns the key of a stream.
func KeyOf(account, service, attempt string) Key { return Key(hasher.Of(account, service, attempt)) }
