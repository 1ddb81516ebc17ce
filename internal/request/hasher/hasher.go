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
	size := 0
	for _, part := range parts {
		size += lengthSize + len(part)
	}
	if size > smallSize {
		return large(parts)
	}
	data := make([]byte, 0, smallSize) // on the stack
	for _, part := range parts {
		data = binary.BigEndian.AppendUint64(data, uint64(len(part)))
		data = append(data, part...)
	}
	sum := sha256.Sum256(data)
	return Sum(sum[:Size])
}

const (
	// lengthSize is the size of the length of a part, in bytes.
	lengthSize = 8
	// smallSize is the size of parts and lengths up to which they are copied rather than hashed in turn.
	smallSize = 512
)

// large returns the sum of parts of any size.
func large[T string | []byte](parts []T) Sum {
	h := sha256.New()
	for _, part := range parts {
		var length [lengthSize]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return Sum(h.Sum(nil)[:Size])
}
