package dispatcher

import (
	"sync"

	"github.com/sardinetiller/sardinetiller/internal/request/router"
)

// A Step is one attempt at a request, as explain shows it.
type Step struct {
	Runner string         `json:"runner" yaml:"runner"`
	Owner  string         `json:"owner" yaml:"owner"` // incarnation asked; empty for this one
	Terms  []router.Terms `json:"terms" yaml:"terms"` // of the best candidates
	Error  string         `json:"error" yaml:"error"`
}

// maxShownTerms is how many candidates a step shows.
const maxShownTerms = 5

// journalSize is how many requests an instance can explain.
const journalSize = 4096

// A journal keeps the steps of the latest requests in a ring.
type journal struct {
	mu    sync.Mutex
	ids   []string
	next  int
	steps map[string][]Step
}

func (j *journal) add(id string, steps []Step) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.steps == nil {
		j.steps = make(map[string][]Step)
		j.ids = make([]string, journalSize)
	}
	delete(j.steps, j.ids[j.next])
	j.ids[j.next] = id
	j.next = (j.next + 1) % journalSize
	j.steps[id] = steps
}

func (j *journal) find(id string) ([]Step, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	steps, ok := j.steps[id]
	return steps, ok
}
