package leaser

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
)

// A Member is one instance on a roster. After a restart an instance has the same ID
// and another Incarnation.
type Member struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// A Roster is the agreed membership of a failure domain.
type Roster struct {
	Epoch    uint64   `cbor:"1,keyasint"`
	Members  []Member `cbor:"2,keyasint"` // sorted by ID
	Departed []string `cbor:"3,keyasint"` // incarnations that may still send requests or orders
}

// With returns the next roster, in which m is a member and not departed. A previous
// incarnation of the same instance becomes departed.
func (r Roster) With(m Member) Roster {
	next := r.Without(m.ID)
	next.Members = append(next.Members, m)
	slices.SortFunc(next.Members, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	next.Departed = slices.DeleteFunc(next.Departed, func(d string) bool { return d == m.Incarnation })
	return next
}

// Without returns the next roster, in which the members with the IDs have departed.
func (r Roster) Without(ids ...string) Roster {
	next := Roster{Epoch: r.Epoch + 1, Departed: slices.Clone(r.Departed)}
	for _, m := range r.Members {
		if slices.Contains(ids, m.ID) {
			next.Departed = append(next.Departed, m.Incarnation)
			continue
		}
		next.Members = append(next.Members, m)
	}
	return next
}

// Member returns the member with the incarnation, if it is on the roster.
func (r Roster) Member(incarnation string) (Member, bool) {
	for _, m := range r.Members {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return Member{}, false
}

// Owner returns the member that owns the runner.
func (r Roster) Owner(runner string) (Member, bool) {
	owner, ok := r.ranking().owner(runner)
	return owner, ok
}

// A ranking computes the owners of many runners without hashing the members again
// for each.
type ranking struct {
	members map[string]Member
	table   *rendezvous.Rendezvous
}

func (r Roster) ranking() ranking {
	members := make(map[string]Member, len(r.Members))
	ids := make([]string, 0, len(r.Members))
	for _, m := range r.Members {
		members[m.ID] = m
		ids = append(ids, m.ID)
	}
	return ranking{members: members, table: rendezvous.New(ids, xxhash.Sum64String)}
}

func (r ranking) owner(runner string) (Member, bool) {
	if len(r.members) == 0 {
		return Member{}, false
	}
	return r.members[r.table.Lookup(runner)], true
}
