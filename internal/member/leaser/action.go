package leaser

// An Action is what a Holder wants done in the table service. Each is one
// transaction.
//
//sumtype:decl
type Action interface{ action() }

// A Renew action writes the instance's lease row, on condition that the row is
// as the instance last wrote it.
type Renew struct{ Lease Lease }

// A Propose action writes the next roster, on condition that the roster is as
// the Holder last read it. Drop names the lease rows to delete in the same
// transaction, on condition that they are as last seen; Lease, if not nil, is
// the proposer's own row to create.
type Propose struct {
	Roster Roster
	Drop   []Lease // as last seen; the own row is dropped without a condition
	Lease  *Lease
}

func (Propose) action() {}
func (Renew) action()   {}

// A Lease is the value of an instance's lease row.
type Lease struct {
	Incarnation string `cbor:"1,keyasint"`
	Serial      uint64 `cbor:"2,keyasint"` // grows with each renewal
	Epoch       uint64 `cbor:"3,keyasint"` // roster epoch that the instance has adopted
}
