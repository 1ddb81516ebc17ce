package resumer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A Member is an instance that may hold records.
type Member struct {
	ID      string
	Address string
	Domain  string // failure domain
}

const (
	// Copies is how many other instances hold the record of a stream, as long as there are so
	// many: two may fail together with the one that began it.
	Copies = 3
	// MaxAsked is how many are asked for a record. The lists of the members may differ for a
	// moment between the instance that sent the record and the one that looks for it.
	MaxAsked = 6
	// HoldersPerDomain is how many instances of a failure domain hold records. It bounds the
	// links of an instance, however many there are.
	HoldersPerDomain = 3
)

// Holders returns the instances that hold the record of a stream, the first ones first: one of each
// failure domain in turns, in an order that depends on the key.
func Holders(k Key, members []Member) []Member {
	byDomain := groupByDomain(Candidates(members))
	var domains []string
	for domain, of := range byDomain {
		domains = append(domains, domain)
		sortByHash(of, string(k[:]), func(m Member) string { return m.ID })
	}
	sortByHash(domains, string(k[:]), func(domain string) string { return domain })
	var holders []Member
	for n := range HoldersPerDomain {
		for _, domain := range domains {
			if of := byDomain[domain]; n < len(of) {
				holders = append(holders, of[n])
			}
		}
	}
	return holders
}

// Candidates returns the instances among which the holders of all streams are.
func Candidates(members []Member) (candidates []Member) {
	for _, of := range groupByDomain(members) {
		sortByHash(of, "", func(m Member) string { return m.ID })
		candidates = append(candidates, of[:min(len(of), HoldersPerDomain)]...)
	}
	return candidates
}

func groupByDomain(members []Member) map[string][]Member {
	byDomain := make(map[string][]Member)
	for _, m := range members {
		byDomain[m.Domain] = append(byDomain[m.Domain], m)
	}
	return byDomain
}

// sortByHash sorts by a hash of a key and a name (rendezvous hashing).
func sortByHash[T any](all []T, key string, name func(T) string) {
	hash := func(one T) uint64 { return xxhash.Sum64String(key + "/" + name(one)) }
	slices.SortFunc(all, func(a, b T) int { return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(name(a), name(b))) })
}
