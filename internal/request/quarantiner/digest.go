package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// A Digest identifies the content of a request. Requests with the same digest are the same
// work, whichever caller sends them and whatever their IDs. It is hexadecimal and reveals
// nothing of the body, so that it may be logged and sent to other instances.
type Digest string

// digestSize is the number of bytes kept of the hash: enough that nobody can forge a request
// with the digest of another caller's request.
const digestSize = 16

// DigestOf returns the digest of a request by its host, method, target (the path with its
// query) and body.
func DigestOf(host, method, target string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(host), []byte(method), []byte(target), body} {
		writePart(h, part)
	}
	return Digest(hex.EncodeToString(h.Sum(nil)[:digestSize]))
}

// writePart writes a part prefixed with its length, so that requests whose parts end at
// different places have different digests.
func writePart(h hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	h.Write(length[:])
	h.Write(part)
}
