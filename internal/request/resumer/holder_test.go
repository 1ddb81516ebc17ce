package resumer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/resumer"
)

func members(count, domains int) []resumer.Member {
	var all []resumer.Member
	for n := range count {
		all = append(all, resumer.Member{ID: fmt.Sprint("front-", n), Address: fmt.Sprint("10.0.0.", n), Domain: fmt.Sprint("d", n%domains)})
	}
	return all
}

// Guards against instances that look for a record where no instance has sent it, as one of them
// knows other members than the other, and against holders that fail with one failure domain.
func TestHoldersAreFoundDespiteDifferentMembers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, size := range []struct{ instances, domains int }{{4, 2}, {9, 4}, {30, 3}, {195, 6}, {332, 6}} {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			all := members(size.instances, size.domains)
			missed, oneDomain, holders := 0, 0, make(map[string]int)
			const streams = 2000
			for n := range streams {
				key := resumer.KeyOf("", "llm", fmt.Sprint(n))
				began, takes, unknown := rng.IntN(len(all)), rng.IntN(len(all)), rng.IntN(len(all))
				sent := resumer.Holders(key, without(all, began))[:min(resumer.Copies, len(all)-1)]
				asked := resumer.Holders(key, without(all, takes, unknown))
				asked = asked[:min(len(asked), resumer.MaxAsked)]
				if !overlap(sent, append(asked, all[takes])) && takes != began {
					missed++
				}
				domains := make(map[string]bool)
				for _, h := range sent {
					holders[h.ID]++
					domains[h.Domain] = true
				}
				if len(domains) == 1 {
					oneDomain++
				}
			}
			if missed > 0 || oneDomain > 0 {
				t.Errorf("%d of %d streams are not found, %d have all holders in one failure domain", missed, streams, oneDomain)
			}
			if limit := 4 * size.domains; len(holders) > max(limit, size.instances) || size.instances > limit && len(holders) > limit {
				t.Errorf("%d instances hold records, want at most %d", len(holders), limit)
			}
		})
	}
}

func without(all []resumer.Member, left ...int) []resumer.Member {
	var rest []resumer.Member
	for n, m := range all {
		found := false
		for _, l := range left {
			found = found || l == n
		}
		if !found {
			rest = append(rest, m)
		}
	}
	return rest
}

func overlap(a, b []resumer.Member) bool {
	for _, x := range a {
		for _, y := range b {
			if cmp.Equal(x, y) {
				return true
			}
		}
	}
	return false
}
