package gatekeeper

import (
	"testing"
	"time"
)

// All instances restart together. The one that counts them begins with nobody, and
// tells the first ones that they are few: each of a hundred would take itself for one
// of three and repeat requests on behalf of thirty, to runners that are full already.
func TestShareOfTheRetriesIsSafeAfterARestart(t *testing.T) {
	var h headcount
	start := time.Now()
	if got := h.get(); got != manyMembers {
		t.Errorf("%d before the first word, want %d", got, manyMembers)
	}
	for _, step := range []struct {
		at    time.Duration
		told  int
		least int
		most  int
	}{
		{0, 1, 195, manyMembers},
		{150 * time.Millisecond, 40, 195, manyMembers},
		{300 * time.Millisecond, 120, 195, manyMembers},
		{450 * time.Millisecond, 195, 195, manyMembers},
		{2 * countFor, 195, 195, manyMembers},
		{3 * countFor, 195, 195, 195},
		{3*countFor + 100*time.Millisecond, 3, 195, 195}, // the holder has restarted
		{3*countFor + 600*time.Millisecond, 196, 196, 196},
		{10 * countFor, 9, manyMembers, manyMembers}, // nobody told for long
	} {
		h.tell(step.told, start.Add(step.at))
		if got := h.get(); got < step.least || got > step.most {
			t.Errorf("after %s, told of %d: %d instances, want %d to %d", step.at, step.told, got, step.least, step.most)
		}
	}
}
