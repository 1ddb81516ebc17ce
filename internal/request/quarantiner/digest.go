package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// A Digest identifies what a runner is asked to run. Requests of the same digest are
// the same work, whichever caller's attempt brings them and whatever their IDs. It is
// hexadecimal, and tells nothing of the body, so that it may be logged and told.
type Digest string

// digestSize is how many bytes of the hash are kept: enough that nobody can make a
// request that passes for another caller's.
const digestSize = 16

// DigestOf returns the digest of a request: to a host, with a method, a target (the
// path with its query) and a body.
func DigestOf(host, method, target string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(host), []byte(method), []byte(target), body} {
		writePart(h, part)
	}
	return Digest(hex.EncodeToString(h.Sum(nil)[:digestSize]))
}

// writePart writes a part behind its length, so that no two requests differ only in
// where one part ends.
func writePart(h hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	h.Write(length[:])
	h.Write(part)
}
