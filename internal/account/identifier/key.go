package identifier

import "bytes"

// An Outcome is the result of checking a caller's key.
type Outcome string

// The outcomes.
const (
	Absent    Outcome = "absent"    // no key was sent
	Known     Outcome = "known"     // the key belongs to an account
	Malformed Outcome = "malformed" // the header holds no single well-formed key
	Unknown   Outcome = "unknown"   // the key belongs to no account
)

// scheme is the only supported authorization scheme. Its case does not matter.
const scheme = "bearer"

// maxKeyLength is the maximum length of a key in bytes.
const maxKeyLength = 512

// bearer returns the key in the value of an Authorization header.
func bearer(value []byte) (key []byte, ok bool) {
	value = bytes.Trim(value, " \t")
	if len(value) <= len(scheme) || !bytes.EqualFold(value[:len(scheme)], []byte(scheme)) {
		return nil, false
	}
	key = bytes.TrimLeft(value[len(scheme):], " ")
	if len(key) == len(value)-len(scheme) {
		return nil, false // no space between the scheme and the key
	}
	return key, wellFormed(key)
}

// wellFormed reports whether a key can be sent in a header.
func wellFormed(key []byte) bool {
	if len(key) == 0 || len(key) > maxKeyLength {
		return false
	}
	for _, c := range key {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}
