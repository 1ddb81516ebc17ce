// Package hasher hashes values that consist of several parts.
package hasher

import (
	"crypto/sha256"
	"encoding/binary"
)

// Size is the number of bytes of a Sum: enough that nobody can forge a value with the sum of another
// caller's value.
const Size = 16

// A Sum is the first half of a SHA-256 hash.
type Sum [Size]byte

// Of returns the sum of parts. Each is hashed with its length, so that values whose parts end at
// different places have different sums.
func Of[T string | []byte](parts ...T) Sum {
	h := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return Sum(h.Sum(nil)[:Size])
}
