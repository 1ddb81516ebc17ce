package quarantiner

import (
	"encoding/hex"
	"strings"

	"github.com/sardinetiller/sardinetiller/internal/request/hasher"
)

// partPrefix starts the digests of parts of prompts.
const partPrefix = "part-"

// DigestOfPart returns the digest of a part of a prompt, which requests of a service share. The
// account does not count: the part crashes runners whoever sends it.
func DigestOfPart(service, part string) Digest {
	sum := hasher.Of(service, "", part, "")
	var digest [len(partPrefix) + 2*hasher.Size]byte
	copy(digest[:], partPrefix)
	hex.Encode(digest[len(partPrefix):], sum[:])
	return Digest(digest[:])
}

// IsPart reports whether a digest is that of a part of a prompt.
func (d Digest) IsPart() bool { return strings.HasPrefix(string(d), partPrefix) }
