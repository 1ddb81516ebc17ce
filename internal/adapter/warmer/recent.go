package warmer

// Kept is the number of evicted adapters that a runner is assumed to keep in host
// memory. Known runners keep 56 to 186; a wrong guess costs one request that
// arrives too early, and without a bound an instance would remember every adapter
// that any runner ever held.
const Kept = 256

// A Recent is a set of the most recently added values, up to a limit. Limit is set
// before use; a Recent is not safe for concurrent use.
type Recent[V comparable] struct {
	Limit int

	added uint64
	line  []entry[V] // oldest first; an entry whose value was added again or dropped is stale
	last  map[V]uint64
}

type entry[V comparable] struct {
	value V
	added uint64
}

// Add adds a value or makes it the most recent one.
func (r *Recent[V]) Add(v V) {
	if r.last == nil {
		r.last = make(map[V]uint64)
	}
	r.added++
	r.last[v] = r.added
	r.line = append(r.line, entry[V]{v, r.added})
	for len(r.last) > r.Limit || len(r.line) > 2*r.Limit {
		oldest := r.line[0]
		r.line = r.line[1:]
		if r.last[oldest.value] == oldest.added {
			delete(r.last, oldest.value)
		}
	}
}

// Drop removes a value.
func (r *Recent[V]) Drop(v V) { delete(r.last, v) }

// Has reports whether the set contains a value.
func (r *Recent[V]) Has(v V) bool {
	_, ok := r.last[v]
	return ok
}
