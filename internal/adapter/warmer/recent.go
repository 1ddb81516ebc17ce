package warmer

// HostMemoryCopies is the number of adapters that a runner is assumed to keep in host
// memory after their eviction. Known runners keep 56 to 186; a wrong guess costs one
// request that arrives too early, and without a bound an instance would remember
// every adapter that any runner ever held.
const HostMemoryCopies = 256

// A RecentSet is a set of the most recently added values, up to a limit. Limit is set
// before use; a RecentSet is not safe for concurrent use.
type RecentSet[V comparable] struct {
	Limit int

	added  uint64
	queue  []entry[V] // oldest first; an entry whose value was added again or dropped is stale
	latest map[V]uint64
}

type entry[V comparable] struct {
	value V
	added uint64
}

// Add adds a value or makes it the most recent one.
func (r *RecentSet[V]) Add(v V) {
	if r.latest == nil {
		r.latest = make(map[V]uint64)
	}
	r.added++
	r.latest[v] = r.added
	r.queue = append(r.queue, entry[V]{v, r.added})
	for len(r.latest) > r.Limit || len(r.queue) > 2*r.Limit {
		oldest := r.queue[0]
		r.queue = r.queue[1:]
		if r.latest[oldest.value] == oldest.added {
			delete(r.latest, oldest.value)
		}
	}
}

// Drop removes a value.
func (r *RecentSet[V]) Drop(v V) { delete(r.latest, v) }

// Has reports whether the set contains a value.
func (r *RecentSet[V]) Has(v V) bool {
	_, ok := r.latest[v]
	return ok
}
