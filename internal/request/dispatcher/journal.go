package dispatcher

import (
	"sync"

	"github.com/sardinetiller/sardinetiller/internal/request/router"
)

// A Step is one attempt of a request, as shown by explain.
type Step struct {
	Runner string         `json:"runner" yaml:"runner"`
	Owner  string         `json:"owner" yaml:"owner"` // incarnation of the instance asked; empty if none was
	Terms  []router.Terms `json:"terms" yaml:"terms"` // terms of the best candidates
	Error  string         `json:"error" yaml:"error"`
}

// maxShownTerms is the maximum number of candidates in a step.
const maxShownTerms = 5

// journalSize is the number of requests that an instance can explain.
const journalSize = 4096

// A journal keeps the steps of the latest requests in a ring buffer.
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
