package leaser

// An Action is a transaction that a Holder requests from the table service.
//
//sumtype:decl
type Action interface{ action() }

// A Renew action writes the instance's lease row on the condition that the row is
// unchanged since the instance last wrote it.
type Renew struct{ Lease Lease }

// A Propose action writes the next roster on the condition that the roster is
// unchanged since the Holder last read it. DeleteLeases lists the lease rows to delete in
// the same transaction, on the condition that they are as last observed; Lease, if
// not nil, is the proposer's own row to create.
type Propose struct {
	Roster       Roster
	DeleteLeases []Lease // as last observed; the proposer's own row is deleted unconditionally
	Lease        *Lease
}

func (Propose) action() {}
func (Renew) action()   {}

// A Lease is the value of an instance's lease row.
type Lease struct {
	Incarnation string `cbor:"1,keyasint"`
	Serial      uint64 `cbor:"2,keyasint"` // increases with each renewal
	Epoch       uint64 `cbor:"3,keyasint"` // roster epoch that the instance has adopted
}
