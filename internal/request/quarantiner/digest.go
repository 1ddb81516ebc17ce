package quarantiner

import (
	"encoding/hex"

	"github.com/sardinetiller/sardinetiller/internal/request/hasher"
)

// A Digest identifies the content of a request. Requests with the same digest are the same
// work, whichever caller sends them and whatever their IDs. It is hexadecimal and reveals
// nothing of the body, so that it may be logged and sent to other instances.
type Digest string

// DigestOf returns the digest of a request by its host, method, target (the path with its
// query) and body.
func DigestOf(host, method, target string, body []byte) Digest {
	sum := hasher.Of([]byte(host), []byte(method), []byte(target), body)
	return Digest(hex.EncodeToString(sum[:]))
}
