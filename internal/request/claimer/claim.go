package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// A Claim is the row of a request with an idempotency key.
type Claim struct {
	Token    string    `cbor:"1,keyasint"` // unique token of the attempt
	Claimant string    `cbor:"2,keyasint"` // incarnation of the instance that runs the request
	Request  string    `cbor:"3,keyasint"` // digest of the request
	Ended    bool      `cbor:"4,keyasint"`
	Status   int       `cbor:"5,keyasint"` // HTTP status of the outcome
	Type     string    `cbor:"6,keyasint"` // content type of the outcome
	Object   string    `cbor:"7,keyasint"` // key of the stored body; empty if it was not stored
	Until    time.Time `cbor:"8,keyasint"` // time at which the claim expires
}

// A Decision is what an existing claim means for a later request with its key.
//
//sumtype:decl
type Decision interface{ decision() }

// Mismatch means that the key was used for a different request.
type Mismatch struct{}

// Indeterminate means that the first request may have run, but its outcome will not be known.
type Indeterminate struct{}

// Expired means that the claim has expired and may be replaced.
type Expired struct{}

// Replay means that the outcome of the first request is available.
type Replay struct{ Claim Claim }

// InProgress means that the first request is still running.
type InProgress struct{}

func (Mismatch) decision()      {}
func (Indeterminate) decision() {}
func (Expired) decision()       {}
func (Replay) decision()        {}
func (InProgress) decision()    {}

// Decide returns what a claim means for a later request with the same key.
func Decide(c Claim, request string, now time.Time, gone func(claimant string) bool) Decision {
	switch {
	case now.After(c.Until):
		return Expired{}
	case c.Request != request:
		return Mismatch{}
	case c.Ended && c.Object != "":
		return Replay{Claim: c}
	case c.Ended, gone(c.Claimant):
		return Indeterminate{}
	default:
		return InProgress{}
	}
}

// Key returns the row key for an account's idempotency key. The account is part
// of the hash, so that no key of one account leads to the outcome of another.
func Key(account, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return "claim/" + hex.EncodeToString(sum[:])
}

// Digest returns the digest of a request by its parts.
func Digest(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write(p)
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}
