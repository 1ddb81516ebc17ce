package warmer

// Kept is how many adapters a runner is taken to keep in its memory after it gave
// them up. Those known so far keep 56 to 186; a wrong guess costs one request that
// comes too early, and without a bound an instance would remember every adapter
// that any runner ever held.
const Kept = 256

// A Recent is the values that were added last, up to a limit. Limit is set before
// use; a Recent is not safe for concurrent use.
type Recent[V comparable] struct {
	Limit int

	added uint64
	line  []entry[V] // the oldest first; an entry that was added again since is void
	last  map[V]uint64
}

type entry[V comparable] struct {
	value V
	added uint64
}

// Add makes a value the newest.
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

// Drop takes a value out.
func (r *Recent[V]) Drop(v V) { delete(r.last, v) }

// Has reports whether a value is among them.
func (r *Recent[V]) Has(v V) bool {
	_, ok := r.last[v]
	return ok
}
