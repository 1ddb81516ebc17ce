// Package gatherer sums up what the requests of many instances do at the runners
// of a failure domain.
//
// Each instance tells it whole, again and again, so a word that is lost on the way
// is made good by the next one, and an instance that falls silent is forgotten
// after a while. The sums are kept and not counted anew: what an instance's word
// costs does not depend on how many others there are.
package gatherer

import (
	"time"

	"github.com/sardinetiller/sardinetiller/internal/adapter/placer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
)

// A Gatherer holds the last word of each member. Its fields are set before use;
// it is not safe for concurrent use.
type Gatherer struct {
	Freed  func(k Key)                     // is told when the last use of a copy has ended; may be nil
	Silent time.Duration                   // after its last word a member counts no more
	Waits  func(k Key, all placer.Waiting) // is told of all requests that wait for a copy, whenever a member tells of some; may be nil

	instances int
	loads     map[string]tracker.Load
	members   map[string]*member
	oldest    time.Time // no member was heard before
	uses      map[Key]int
	waiting   map[Key]map[string]placer.Waiting // by member
}

// A member is who told a word.
type member struct {
	heard time.Time
	word  Word
}

// Tell takes in the word of a member, in place of its last one.
func (g *Gatherer) Tell(from string, w Word, now time.Time) {
	m := g.member(from, now)
	m.heard = now
	before := m.word.Uses
	g.replace(from, m, w)
	if g.Freed == nil {
		return
	}
	for k := range before {
		if g.uses[k] == 0 {
			g.Freed(k)
		}
	}
}

// Use counts a use that a member has begun. Its next word tells of all its uses,
// this one included for as long as it lasts.
func (g *Gatherer) Use(by string, k Key, now time.Time) {
	m := g.member(by, now)
	if m.word.Uses == nil {
		m.word.Uses = make(map[Key]int)
	}
	m.word.Uses[k]++
	g.use(k, 1)
}

// Drop forgets a member.
func (g *Gatherer) Drop(id string) {
	if m, ok := g.members[id]; ok {
		g.replace(id, m, Word{})
		delete(g.members, id)
	}
}

// Clear forgets all members.
func (g *Gatherer) Clear() {
	for id := range g.members {
		g.Drop(id)
	}
}

// Expire forgets the members that are silent. Without it the uses of an instance
// that died would keep their places for good.
func (g *Gatherer) Expire(now time.Time) {
	if now.Sub(g.oldest) <= g.Silent {
		return
	}
	g.oldest = now
	for id, m := range g.members {
		if now.Sub(m.heard) > g.Silent {
			g.Drop(id)
		} else if m.heard.Before(g.oldest) {
			g.oldest = m.heard
		}
	}
}

// Knows reports whether a member counts.
func (g *Gatherer) Knows(id string) bool {
	_, ok := g.members[id]
	return ok
}

// Instances returns how many instances the members speak for.
func (g *Gatherer) Instances() int { return g.instances }

// Loads returns the work of all members but one.
func (g *Gatherer) Loads(but string) map[string]tracker.Load {
	var own map[string]tracker.Load
	if m, ok := g.members[but]; ok {
		own = m.word.Loads
	}
	others := make(map[string]tracker.Load, len(g.loads))
	for runner, load := range g.loads {
		if rest := load.Minus(own[runner]); rest != (tracker.Load{}) {
			others[runner] = rest
		}
	}
	return others
}

// Uses returns how many requests need a copy to stay.
func (g *Gatherer) Uses(k Key) int { return g.uses[k] }

// Word returns the sum of the words of all members.
func (g *Gatherer) Word() Word {
	w := Word{Instances: g.instances, Loads: g.Loads(""), Uses: make(map[Key]int, len(g.uses)), Waits: make(map[Key]placer.Waiting, len(g.waiting))}
	for k, n := range g.uses {
		w.Uses[k] = n
	}
	for k := range g.waiting {
		w.Waits[k] = g.all(k)
	}
	return w
}

func (g *Gatherer) member(id string, now time.Time) *member {
	m, ok := g.members[id]
	if !ok {
		m = &member{heard: now}
		if g.members == nil {
			g.members = make(map[string]*member)
			g.oldest = now
		}
		g.members[id] = m
	}
	return m
}

// replace puts a word in place of a member's last one.
func (g *Gatherer) replace(id string, m *member, w Word) {
	before := m.word
	m.word = w
	g.instances += w.Instances - before.Instances
	for runner, load := range before.Loads {
		g.load(runner, tracker.Load{}.Minus(load))
	}
	for runner, load := range w.Loads {
		g.load(runner, load)
	}
	for k, n := range before.Uses {
		g.use(k, -n)
	}
	for k, n := range w.Uses {
		g.use(k, n)
	}
	for k := range before.Waits {
		if _, still := w.Waits[k]; !still {
			g.unwait(id, k)
		}
	}
	for k, waiting := range w.Waits {
		g.wait(id, k, waiting)
	}
}

func (g *Gatherer) load(runner string, change tracker.Load) {
	if g.loads == nil {
		g.loads = make(map[string]tracker.Load)
	}
	sum := g.loads[runner].Plus(change)
	if sum == (tracker.Load{}) {
		delete(g.loads, runner)
		return
	}
	g.loads[runner] = sum
}

func (g *Gatherer) use(k Key, n int) {
	if g.uses == nil {
		g.uses = make(map[Key]int)
	}
	g.uses[k] += n
	if g.uses[k] <= 0 {
		delete(g.uses, k)
	}
}

func (g *Gatherer) wait(id string, k Key, waiting placer.Waiting) {
	if g.waiting == nil {
		g.waiting = make(map[Key]map[string]placer.Waiting)
	}
	if g.waiting[k] == nil {
		g.waiting[k] = make(map[string]placer.Waiting)
	}
	g.waiting[k][id] = waiting
	g.waits(k)
}

func (g *Gatherer) unwait(id string, k Key) {
	delete(g.waiting[k], id)
	if len(g.waiting[k]) == 0 {
		delete(g.waiting, k)
	}
	g.waits(k)
}

func (g *Gatherer) waits(k Key) {
	if g.Waits != nil {
		g.Waits(k, g.all(k))
	}
}

// all sums up the requests that wait for a copy, over the members that have some.
func (g *Gatherer) all(k Key) placer.Waiting {
	all := placer.Waiting{Priority: placer.Spare}
	for _, waiting := range g.waiting[k] {
		all = all.Plus(waiting)
	}
	return all
}
