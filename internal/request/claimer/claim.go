package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// A Claim is the row of one keyed request.
type Claim struct {
	Token    string    `cbor:"1,keyasint"` // of the attempt
	Claimant string    `cbor:"2,keyasint"` // incarnation
	Request  string    `cbor:"3,keyasint"` // digest of what was asked
	Ended    bool      `cbor:"4,keyasint"`
	Status   int       `cbor:"5,keyasint"` // of the outcome
	Type     string    `cbor:"6,keyasint"` // content type of the outcome
	Object   string    `cbor:"7,keyasint"` // key of the outcome's body; empty if it was not kept
	Until    time.Time `cbor:"8,keyasint"` // when the claim may be forgotten
}

// A Decision is what a claim that is already there means for a newcomer.
//
//sumtype:decl
type Decision interface{ decision() }

// Mismatch means that the same key came with another request.
type Mismatch struct{}

// Indeterminate means that the first request may have run and nobody will tell.
type Indeterminate struct{}

// Expired means that the claim counts no more and may be replaced.
type Expired struct{}

// Replay means that the first request's outcome is there.
type Replay struct{ Claim Claim }

// InProgress means that the first request runs.
type InProgress struct{}

func (Mismatch) decision()      {}
func (Indeterminate) decision() {}
func (Expired) decision()       {}
func (Replay) decision()        {}
func (InProgress) decision()    {}

// Decide returns what a claim means for a newcomer with the same key.
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

// Key returns the row of an account's idempotency key. The account is part of
// what is hashed, so that no key of one account leads to another's outcome.
func Key(account, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return "claim/" + hex.EncodeToString(sum[:])
}

// Digest names what was asked.
func Digest(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write(p)
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}
