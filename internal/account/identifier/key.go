package identifier

import "bytes"

// An Outcome says what a caller's key showed.
type Outcome string

// The outcomes.
const (
	Absent    Outcome = "absent"    // there is no key
	Known     Outcome = "known"     // it belongs to an account
	Malformed Outcome = "malformed" // there is no single key to be read
	Unknown   Outcome = "unknown"   // it belongs to no account
)

// scheme is the only one in which callers send keys. Its case does not matter.
const scheme = "bearer"

// longestKey bounds a key, in bytes.
const longestKey = 512

// bearer returns the key in the value of an Authorization header.
func bearer(value []byte) (key []byte, ok bool) {
	value = bytes.Trim(value, " \t")
	if len(value) <= len(scheme) || !bytes.EqualFold(value[:len(scheme)], []byte(scheme)) {
		return nil, false
	}
	key = bytes.TrimLeft(value[len(scheme):], " ")
	if len(key) == len(value)-len(scheme) {
		return nil, false // nothing parts the scheme from the key
	}
	return key, wellFormed(key)
}

// wellFormed reports whether a key can be sent in a header.
func wellFormed(key []byte) bool {
	if len(key) == 0 || len(key) > longestKey {
		return false
	}
	for _, c := range key {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}
