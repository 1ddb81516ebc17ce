package gatekeeper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/resumer"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
)

// A storeFault is what happens to the store while all instances are down.
type storeFault struct {
	name  string
	apply func(s *streamSite, copied map[string]tabler.Row)
	goOn  bool // at least half of the streams go on
}

var storeFaults = []storeFault{
	{"none", func(*streamSite, map[string]tabler.Row) {}, true},
	{"it returns from an older copy", func(s *streamSite, copied map[string]tabler.Row) { s.store.returnFrom(copied) }, false},
	{"it is away", func(s *streamSite, _ map[string]tabler.Row) { s.store.set(rejects) }, false},
	{"the rows are malformed", func(s *streamSite, _ map[string]tabler.Row) {
		for _, id := range s.ids {
			s.store.put(tabler.Row{Key: tableStreams + "/" + id, Value: []byte("malformed")})
		}
	}, false},
}

// Guards against streams that are all refused after a restart of all instances while two versions serve, and
// against ones that go on at the other version.
func TestStreamsGoOnAfterARestartOfAllInstances(t *testing.T) {
	for _, site := range streamSites {
		for _, fault := range storeFaults {
			t.Run(fmt.Sprintf("%d instances, fault of the store: %s", site.instances, fault.name), func(t *testing.T) {
				total, served, mixed := 0, 0, 0
				for seed := range *streamSeeds {
					playStreamSite(t, site.instances, site.domains, []string{"v1", "v2"}, func(t *testing.T, s *streamSite) {
						rng := rand.New(rand.NewPCG(seed, uint64(site.instances)))
						copied := s.store.copyRows()
						var streams []begunStream
						for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond) {
							streams = append(streams, s.begin(len(streams), rng))
						}
						writes := s.store.writeCount()
						if most := 13 * min(4*site.instances, maxStreamRowWrites); writes > most {
							t.Errorf("%d writes in 12 s, over %d", writes, most)
						}
						fault.apply(s, copied)
						s.kill(200*time.Millisecond, s.ids...)
						for _, b := range streams {
							goesOn, wrong := s.takeUp(b, s.ids[rng.IntN(len(s.ids))])
							total++
							if goesOn {
								served++
							}
							if wrong {
								mixed++
							}
						}
					})
				}
				t.Logf("%d streams taken up, %d went on, %d at another version", total, served, mixed)
				if mixed > 0 || fault.goOn && 2*served < total {
					t.Errorf("%d of %d streams went on, %d at another version", served, total, mixed)
				}
			})
		}
	}
}

// playStreamSite plays a deployment in a bubble, and ends it.
func playStreamSite(t *testing.T, instances, domains int, versions []string, play func(t *testing.T, s *streamSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		play(t, newStreamSite(ctx, instances, domains, versions...))
		cancel()
		synctest.Wait()
		time.Sleep(streamRowsTimeout) // lets the timers run out
	})
}

// Guards against a restart of one instance that drops the records which it had in the store before.
func TestRestartKeepsTheStreamsInTheStore(t *testing.T) {
	playStreamSite(t, 1, 1, []string{"v1", "v2"}, func(t *testing.T, s *streamSite) {
		begin := func(id string) {
			s.net.at("front-0").Began(&forwarder.Request{ID: id, Service: "llm", Deadline: time.Now().Add(12 * time.Second)}, "v2")
			time.Sleep(3 * time.Second)
		}
		begin("q1")
		s.kill(0, "front-0")
		begin("q2")
		var row streamRow
		if err := encoder.Unmarshal(s.store.copyRows()[tableStreams+"/front-0"].Value, &row); err != nil {
			t.Fatal(err)
		}
		versions := make(map[resumer.Key]string)
		for _, r := range row.Records {
			versions[r.Key] = r.Version
		}
		want := map[resumer.Key]string{resumer.KeyOf("", "llm", "q1"): "v2", resumer.KeyOf("", "llm", "q2"): "v2"}
		if diff := cmp.Diff(want, versions); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against calls of the store where they are not needed: on a day with one version, and for streams that
// callers invent.
func TestStreamRowsCostNothingWithOneVersion(t *testing.T) {
	playStreamSite(t, 4, 2, []string{"v1"}, func(t *testing.T, s *streamSite) {
		rng := rand.New(rand.NewPCG(1, 1))
		for n := range 100 {
			b := s.begin(n, rng)
			_, _ = s.takeUp(b, b.at)
			time.Sleep(20 * time.Millisecond)
		}
		if calls := s.store.callCount(); calls > 0 {
			t.Errorf("%d calls of the store", calls)
		}
		g := s.net.at("front-0")
		addStreamRunner(g, "v2")
		for n := range 50 {
			r := forwarder.Request{ID: fmt.Sprint("again-", n), Resumes: fmt.Sprint("invented-", n), Service: "llm", Deadline: time.Now().Add(time.Second)}
			if pin, refused := g.Find(s.ctx, &r); refused == nil {
				t.Fatalf("an invented stream goes on at %v", pin)
			}
		}
		if calls := s.store.callCount(); calls > 3 {
			t.Errorf("%d calls of the store for invented streams", calls)
		}
	})
}

// Guards against all instances writing to the store after they have started, as none knows the others yet.
func TestStreamsAreNotStoredWhileTheInstancesAreNotKnown(t *testing.T) {
	playStreamSite(t, 30, 3, []string{"v1", "v2"}, func(t *testing.T, s *streamSite) {
		rng := rand.New(rand.NewPCG(1, 1))
		for _, id := range s.ids {
			g := s.net.at(id)
			g.directory.onChange(s.peers([]string{id}))
			g.headcount = headcount{}
		}
		for n := range 300 {
			s.begin(n, rng)
			time.Sleep(10 * time.Millisecond)
		}
		if writes := s.store.writeCount(); writes > 0 {
			t.Errorf("%d writes", writes)
		}
	})
}

// Guards against a row over the limit of the store, which would then be refused.
func TestStreamRowIsBounded(t *testing.T) {
	const limit = 64 << 10
	var stored storedStreams
	now := time.Now()
	for n := range 10 * maxRowRecords {
		stored.add([]resumer.Record{{Key: resumer.KeyOf("", "llm", fmt.Sprint(n)), Version: fmt.Sprintf("%0*d", n%(2*maxRowVersion), n), Left: time.Hour}}, now)
	}
	row, _ := stored.row(now)
	data, err := encoder.Marshal(row)
	if err != nil || len(data) > limit || len(row.Records) != maxRowRecords {
		t.Errorf("%d bytes for %d streams, %v", len(data), len(row.Records), err)
	}
	if row, _ := stored.row(now.Add(resumer.MaxLeft)); len(row.Records) > 0 {
		t.Errorf("%d streams after their time", len(row.Records))
	}
}
