package gatekeeper

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/request/detourer"
	"github.com/sardinetiller/sardinetiller/internal/request/quarantiner"
)

// crashesUnder returns reports of the crashes of a number of runners under several suspects.
func crashesUnder(runners int, suspects ...quarantiner.Digest) (reports []quarantiner.CrashReport) {
	for n := range runners {
		for _, d := range suspects {
			reports = append(reports, quarantiner.CrashReport{Digest: d, Runner: fmt.Sprint("i-", n), Age: time.Second})
		}
	}
	return reports
}

// Guards against a part that most requests share being quarantined, as an instance that has not seen it
// in a sound run reports crashes under it.
func TestPartsThatAreSoundElsewhereAreCleared(t *testing.T) {
	for _, tc := range []struct {
		name  string
		sound time.Duration // before the reports; 0 for never
		want  bool          // quarantined
	}{
		{"sound a moment ago", time.Second, false},
		{"not sound for long", time.Minute, true},
		{"never sound", 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newDomainGatekeeper("a-1", "a")
				part := quarantiner.DigestOfPart("llm", "a1")
				if tc.sound > 0 {
					g.ReportSound([]quarantiner.Digest{part})
					time.Sleep(tc.sound)
				}
				g.applyCrashReports(crashesUnder(3, part), "front-2")
				g.clearSound()
				if _, held := g.Quarantined(part); held != tc.want {
					t.Errorf("quarantined: %t, want %t", held, tc.want)
				}
			})
		})
	}
}

// Guards against a part that is quarantined in place of another one for as long as a bad one would be,
// and against trials that crash runners although the crashes tell which part is bad.
func TestTrialsOfQuarantinedParts(t *testing.T) {
	first, second, other := quarantiner.DigestOfPart("llm", "a1"), quarantiner.DigestOfPart("llm", "b2"), quarantiner.DigestOfPart("llm", "c3")
	for _, tc := range []struct {
		name    string
		reports []quarantiner.CrashReport
		parts   []quarantiner.Digest // of the request
		want    bool
	}{
		{"a rival, which the request does not have", crashesUnder(3, first, second), []quarantiner.Digest{first, other}, true},
		{"a rival, which the request has", crashesUnder(3, first, second), []quarantiner.Digest{first, second}, false},
		{"several rivals, of which the request lacks one", crashesUnder(3, first, second, other), []quarantiner.Digest{first, second}, true},
		{"several rivals, which the request has", crashesUnder(3, first, second, other), []quarantiner.Digest{first, second, other}, false},
		{"no rival", crashesUnder(3, first), []quarantiner.Digest{first, other}, false},
		{"a rival with fewer crashes", append(crashesUnder(4, first), crashesUnder(3, second)...), []quarantiner.Digest{first, other}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var tries []string
				var all []detourer.Peer
				for n := range 6 {
					id := fmt.Sprint("front-", n)
					all = append(all, detourer.Peer{ID: id, Address: id, Domain: "a"})
				}
				for _, self := range all {
					g := newDomainGatekeeper(self.ID, "a")
					g.directory.onChange(all)
					g.applyCrashReports(tc.reports, "front-9")
					for range 3 {
						if g.Trial(first, tc.parts) {
							tries = append(tries, self.ID)
						}
					}
					time.Sleep(trialInterval)
					if g.Trial(first, tc.parts) {
						tries = append(tries, self.ID)
					}
				}
				if want := map[bool]int{true: 2}[tc.want]; len(tries) != want || len(tries) == 2 && tries[0] != tries[1] {
					t.Error(cmp.Diff(want, len(tries)), tries)
				}
			})
		})
	}
}
