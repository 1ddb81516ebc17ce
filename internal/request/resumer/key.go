package resumer

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// A Key identifies a stream: the account and the service, and the ID of the attempt that brought the
// caller the first event. It is a hash, so that no caller learns of a stream of another account by
// naming its ID.
type Key [16]byte

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// KeyOf returns the key of a stream.
func KeyOf(account, service, attempt string) Key {
	h := sha256.New()
	for _, part := range []string{account, service, attempt} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return Key(h.Sum(nil)[:len(Key{})])
}
