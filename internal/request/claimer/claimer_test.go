package claimer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sardinetiller/sardinetiller/internal/platform/storer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/claimer"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
)

// A faultyTable injects the faults of a platform: downtime, lost responses after
// the write, and writes that take effect late.
type faultyTable struct {
	tabler.Memory
	ignoresChecks bool // commits without the checks
	down          atomic.Bool

	mu       sync.Mutex
	lateRate float64
	lossRate float64
	random   *rand.Rand
}

// drawFault draws the faults of one write.
func (f *faultyTable) drawFault() (late, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < f.lateRate, f.random.Float64() < f.lossRate
}

func (f *faultyTable) setFaults(lateRate, lossRate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateRate = lateRate
	f.lossRate = lossRate
}

func (f *faultyTable) Commit(ctx context.Context, txn tabler.Txn) error {
	time.Sleep(2 * time.Millisecond)
	if f.ignoresChecks {
		txn.Checks = nil
	}
	late, lose := f.drawFault()
	lost := &tabler.UnknownError{Err: errors.New("answer lost")}
	switch {
	case f.down.Load():
		return &tabler.UnavailableError{Err: errors.New("down")}
	case late:
		time.AfterFunc(2*time.Second, func() { _ = f.Memory.Commit(context.Background(), txn) })
		return lost
	}
	err := f.Memory.Commit(ctx, txn)
	if err == nil && lose {
		return lost
	}
	return err
}

func (f *faultyTable) Get(ctx context.Context, key string) (tabler.Row, error) {
	time.Sleep(2 * time.Millisecond)
	if f.down.Load() {
		return tabler.Row{}, &tabler.UnavailableError{Err: errors.New("down")}
	}
	return f.Memory.Get(ctx, key)
}

// A cluster is several instances with one table; it counts the runs of requests.
type cluster struct {
	claimers []*claimer.Claimer
	gone     sync.Map // by incarnation
	runs     atomic.Int64
	store    storer.Memory
	table    *faultyTable
	token    atomic.Int64
}

func newCluster(t *testing.T, n int, seed uint64) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		time.Sleep(10 * time.Second) // for work in progress to end
	})
	cl := &cluster{table: &faultyTable{random: rand.New(rand.NewPCG(seed, 1))}}
	for i := range n {
		c := &claimer.Claimer{
			Self: fmt.Sprint("i", i), Store: &cl.store, Table: cl.table,
			Gone:  func(inc string) bool { _, gone := cl.gone.Load(inc); return gone },
			Token: func() string { return fmt.Sprint("t", cl.token.Add(1)) },
		}
		cl.claimers = append(cl.claimers, c)
		go c.Run(ctx)
	}
	synctest.Wait()
	return cl
}

// request runs a request with a key and returns the verdict and body that its
// caller gets. With crash, the claimant crashes after the run and before it records
// the outcome.
func (cl *cluster) request(c *claimer.Claimer, timeout time.Duration, crash bool) (judge.Verdict, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ticket, outcome, err := c.Begin(ctx, "account", "key", "request", time.Hour)
	if err != nil {
		return judge.As(err).Verdict, ""
	}
	if outcome != nil {
		return judge.Ran, string(outcome.Body)
	}
	n := cl.runs.Add(1)
	time.Sleep(20 * time.Millisecond)
	if crash {
		return judge.MayHaveRun, ""
	}
	body := fmt.Sprint("run ", n)
	c.End(context.Background(), ticket, &claimer.Outcome{Status: 200, Body: []byte(body)}, nil)
	return judge.Ran, body
}

// Guards against a request that runs twice, or whose callers get different
// outcomes: requests with one key arrive through several instances, at once and
// later, while the table loses responses, applies writes late and is down for a
// while, and one claimant may crash after the run.
func TestRunsAtMostOnce(t *testing.T) {
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) {
			if err := runScenario(t, seed, false); err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against a simulation that cannot detect requests that run twice: with a
// table that ignores checks, it must find some.
func TestSimulationDetectsIgnoredChecks(t *testing.T) {
	found := 0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			if runScenario(t, seed, true) != nil {
				found++
			}
		})
	}
	if found == 0 {
		t.Error("no request that ran twice was detected")
	}
}

// runScenario returns an error if the request ran more than once or callers saw
// different outcomes.
func runScenario(t *testing.T, seed uint64, ignoreChecks bool) error {
	random := rand.New(rand.NewPCG(seed, 2))
	cl := newCluster(t, 3, seed)
	cl.table.ignoresChecks = ignoreChecks
	cl.table.setFaults(random.Float64()/4, random.Float64()/2)
	crash := random.IntN(3) == 0
	var wg sync.WaitGroup
	var mu sync.Mutex
	bodies := make(map[string]bool)
	for i := range 6 {
		c := cl.claimers[random.IntN(len(cl.claimers))]
		delay := time.Duration(random.IntN(3000)) * time.Millisecond
		wg.Go(func() {
			time.Sleep(delay)
			verdict, body := cl.request(c, 5*time.Second, crash && i == 0)
			if crash && i == 0 {
				cl.gone.Store(c.Self, true)
			}
			mu.Lock()
			defer mu.Unlock()
			if verdict == judge.Ran && body != "" {
				bodies[body] = true
			}
		})
	}
	time.Sleep(time.Second)
	cl.table.down.Store(random.IntN(2) == 0)
	time.Sleep(time.Second)
	cl.table.down.Store(false)
	wg.Wait()
	if runs := cl.runs.Load(); runs > 1 || len(bodies) > 1 {
		return fmt.Errorf("seed %d: ran %d times, callers saw %v", seed, runs, bodies)
	}
	return nil
}

// Guards against two claims on one key in one batch, which collects them because
// another batch was committed just before: in one transaction both would pass the
// same check.
func TestSameKeyInOneBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 1, 1)
		if err := cl.claimers[0].CommitBatched(t.Context(), tabler.Txn{Puts: []tabler.Put{{Key: "other"}}}); err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { cl.request(cl.claimers[0], time.Second, false) })
		}
		wg.Wait()
		if runs := cl.runs.Load(); runs != 1 {
			t.Errorf("ran %d times, want 1", runs)
		}
	})
}

// Guards against a claim that stays although its request was refused as not_run:
// the response to the write was lost, and the store was down when the claim was
// read back. Once the store is up, the claim must be withdrawn, so that a second
// attempt runs instead of getting may_have_run.
func TestRefusedClaimIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2, 1)
		cl.table.setFaults(0, 1)
		time.AfterFunc(3*time.Millisecond, func() { cl.table.down.Store(true) })
		verdict, _ := cl.request(cl.claimers[0], time.Second, false)
		if verdict != judge.NotRun || cl.runs.Load() != 0 {
			t.Fatalf("first attempt: %s after %d runs", verdict, cl.runs.Load())
		}
		cl.table.down.Store(false)
		cl.table.setFaults(0, 0)
		time.Sleep(3 * time.Second)
		if verdict, _ := cl.request(cl.claimers[1], time.Second, false); verdict != judge.Ran {
			t.Errorf("second attempt: %s, want ran", verdict)
		}
	})
}

func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	claim := claimer.Claim{Claimant: "i", Request: "r", Until: now.Add(time.Minute)}
	ended, noOutcome, expired := claim, claim, claim
	ended.Ended, ended.Object = true, "o"
	noOutcome.Ended = true
	expired.Until = now.Add(-time.Second)
	for _, tc := range []struct {
		name    string
		claim   claimer.Claim
		request string
		gone    bool
		want    claimer.Decision
	}{
		{"runs", claim, "r", false, claimer.InProgress{}},
		{"claimant gone", claim, "r", true, claimer.Indeterminate{}},
		{"ended", ended, "r", true, claimer.Replay{Claim: ended}},
		{"ended without outcome", noOutcome, "r", false, claimer.Indeterminate{}},
		{"other request", ended, "x", false, claimer.Mismatch{}},
		{"expired", expired, "r", false, claimer.Expired{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := claimer.Decide(tc.claim, tc.request, now, func(string) bool { return tc.gone })
			if got != tc.want {
				t.Errorf("Decide = %#v, want %#v", got, tc.want)
			}
		})
	}
}

func TestKeyDiffersByAccount(t *testing.T) {
	if claimer.Key("a", "bc") == claimer.Key("ab", "c") {
		t.Error("keys of two accounts have the same row key")
	}
}
