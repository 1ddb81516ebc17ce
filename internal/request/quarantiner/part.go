package quarantiner

import "strings"

// partPrefix starts the digests of parts of prompts.
const partPrefix = "part-"

// DigestOfPart returns the digest of a part of a prompt, which requests of a service share. The
// account does not count: the part crashes runners whoever sends it.
func DigestOfPart(service, part string) Digest {
	return partPrefix + DigestOf(service, "", part, nil)
}

// IsPart reports whether a digest is that of a part of a prompt.
func (d Digest) IsPart() bool { return strings.HasPrefix(string(d), partPrefix) }
