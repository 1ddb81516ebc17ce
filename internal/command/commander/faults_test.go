package commander_test

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/experiment/auditor"
	"github.com/sardinetiller/sardinetiller/internal/experiment/sampler"
	"github.com/sardinetiller/sardinetiller/internal/standin/generator"
	"github.com/sardinetiller/sardinetiller/internal/standin/registrar"
	"github.com/sardinetiller/sardinetiller/internal/standin/responder"
)

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// span is how long each fault is under load. The faults begin in it and end in
// it; what is checked does not depend on how far anything got.
const span = 7 * time.Second

func load() sampler.Workload {
	return sampler.Workload{
		Adapters: 12, Away: 0.3, Calls: 350, Group: "desk", Once: 0.5, Plain: 0.15, Seed: 1,
		Shape: sampler.Zipf, Skew: 1.1, Span: span, Tokens: 12, Versions: 1,
	}
}

// Real processes under load, one fault at a time and several together. The
// callers must see only what the stand-ins' books bear out: whole answers of
// the adapter they named, not_run for what did not run, one run at most for
// what may not be repeated, and no adapter evicted while it serves.
func TestPromisesUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		fencing bool
		planned bool // no request may be cut off or refused for it
		fault   func(y *yard)
	}{
		// The owner of runners is paused past its lease while it sends requests
		// and orders. Another instance takes over; then the owner resumes and
		// acts on what it believed.
		{"owner paused, engine checks fencing", true, false, pauseOwner},
		{"owner paused, engine ignores fencing", false, false, pauseOwner},
		// An instance dies with requests in flight and claims open.
		{"instance killed", false, false, killInstance},
		// Engines restart empty under load; a copy believed resident is gone.
		{"cold start", true, false, coldStart},
		// Loads fail and orders are carried out without an answer.
		{"orders lost and loads failed", false, false, loseOrders},
		// The platform is away for two lease times.
		{"platform away", false, false, platformAway},
		// Writes take effect and their answers are lost.
		{"answers lost", true, false, loseAnswers},
		// One instance is cut off from the platform, not from its peers.
		{"instance cut from platform", false, false, cutPlatform},
		// Nobody reaches one instance, though it reaches all others.
		{"instance cut from its peers", false, false, cutPeers},
		// No instance reaches any other, and a whole domain not the platform.
		{"every instance alone", true, false, cutAll},
		// An engine and the plain service answer in part or not at all.
		{"answers cut", true, false, cutAnswers},
		// An engine says that it leaves.
		{"upstream leaves", true, true, leaveUpstream},
		// Every instance is replaced under load, one after the other.
		{"rolling replacement", true, true, rollingReplacement},
		{"all at once", false, false, allAtOnce},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			y := newYard(t, tc.fencing)
			stop := y.traffic(load())
			time.Sleep(span / 7)
			tc.fault(y)
			results := stop()
			promises, faults := y.audit(results, tc.planned)
			if promises != (auditor.Promises{}) {
				t.Errorf("%+v\n%v", promises, faults)
			}
			whole := 0
			for _, r := range results {
				if r.Whole {
					whole++
				}
			}
			t.Logf("%d of %d answered whole", whole, len(results))
			if whole == 0 {
				t.Error("nothing was answered, so nothing was checked")
			}
		})
	}
}

// The platform is away when an instance starts. It finds no list, turns to its
// seed, takes the settings in force from it, and serves by passing requests on.
// One without seeds says that it is not ready and refuses with not_run.
func TestStartsWhilePlatformIsAway(t *testing.T) {
	t.Parallel()
	y := newYard(t, true)
	y.complete("a-1") // makes the adapter resident: the weight store goes away too
	y.control(y.platform, registrar.Faults{Down: true})
	y.launch("a-3", "a", "seeds: ["+y.instance("a-1").peers.Listen+"]")
	y.launch("a-4", "a")
	until(t, "the one with a seed has settings and knows owners", func() bool {
		s, ok := y.status("a-3")
		return ok && s.Ready && s.Revision == 1 && len(s.Runners) == 2 && s.Runners[0].Owner != "" && s.Runners[1].Owner != ""
	})
	for id, want := range map[string]string{"a-3": `"text"`, "a-4": `"verdict":"not_run"`} {
		if body := y.complete(id); !strings.Contains(body, want) {
			t.Errorf("%s answered %s, want %s", id, body, want)
		}
	}
}

func pauseOwner(y *yard) {
	y.instance("a-1").signal(syscall.SIGSTOP)
	y.out("a-1", true)
	time.Sleep(2 * yardLease)
	y.instance("a-1").signal(syscall.SIGCONT)
	y.out("a-1", false)
}

func killInstance(y *yard) {
	y.instance("a-1").signal(syscall.SIGKILL)
	y.launch("a-1", "a")
}

func coldStart(y *yard) {
	for range 3 {
		for _, e := range y.engines {
			y.control(e, generator.Faults{Restart: true})
			time.Sleep(span / 20)
		}
	}
}

func loseOrders(y *yard) {
	for _, e := range y.engines {
		y.control(e, generator.Faults{Lose: 6, Fail: 6, Stall: 50 * time.Millisecond})
	}
}

func platformAway(y *yard) {
	y.control(y.platform, registrar.Faults{Down: true})
	time.Sleep(2 * yardLease)
	y.control(y.platform, registrar.Faults{})
}

func loseAnswers(y *yard) {
	for range 10 {
		y.control(y.platform, registrar.Faults{Lose: 5, Slow: 20 * time.Millisecond})
		time.Sleep(span / 20)
	}
	y.control(y.platform, registrar.Faults{})
}

func cutPlatform(y *yard) {
	y.cut(2*yardLease, y.instance("a-1").proxy)
}

func cutPeers(y *yard) {
	y.cut(2*yardLease, y.instance("a-1").peers)
}

func cutAll(y *yard) {
	y.cut(2*yardLease, y.instance("a-1").peers, y.instance("a-2").peers, y.instance("b-1").peers, y.instance("b-1").proxy)
}

func cutAnswers(y *yard) {
	for _, e := range y.engines {
		y.control(e, generator.Faults{Cut: 8, Refuse: 8})
	}
	y.control(y.service, responder.Faults{Lose: 5})
}

func leaveUpstream(y *yard) {
	y.control(y.engines[0], generator.Faults{Leaving: true})
}

func rollingReplacement(y *yard) {
	for _, id := range []string{"a-1", "a-2", "b-1"} {
		y.launch(id+"x", id[:1])
		until(y.t, id+"x is ready", func() bool {
			s, ok := y.status(id + "x")
			return ok && s.Ready && len(s.Runners) > 0
		})
		old := y.instance(id)
		old.signal(syscall.SIGTERM)
		time.Sleep(300 * time.Millisecond) // until the balancer has noticed; the instance still serves
		y.out(id, true)
		<-old.done
	}
}

func allAtOnce(y *yard) {
	loseOrders(y)
	y.control(y.platform, registrar.Faults{Lose: 10, Slow: 20 * time.Millisecond})
	y.instance("a-1").signal(syscall.SIGSTOP)
	y.out("a-1", true)
	y.control(y.engines[1], generator.Faults{Restart: true})
	y.instance("b-1").signal(syscall.SIGKILL)
	y.launch("b-1", "b")
	time.Sleep(2 * yardLease)
	y.instance("a-1").signal(syscall.SIGCONT)
	y.out("a-1", false)
	cutPlatform(y)
}
