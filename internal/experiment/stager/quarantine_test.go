package stager_test

import (
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/experiment/stager"
	"github.com/sardinetiller/sardinetiller/internal/standin/generator"
)

// crashed returns when engines began to run the request that crashes them.
func crashed(s *stager.Stage) []time.Time {
	var at []time.Time
	for _, e := range s.Engines {
		for _, r := range e.Books().Runs {
			if r.Marker == generator.CrashMarker {
				at = append(at, r.Began)
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// One request comes again and again, at all instances, and crashes the engine that runs
// it; whatever ran beside it is cut, and the engine comes back empty. Each attempt began
// with nothing known, so it went on for as long as its caller did. Three seconds after
// the third crash no more than three further runs may begin.
func TestRequestThatCrashesEnginesIsRejected(t *testing.T) {
	s := small(t)
	body := `{"model":"desk-7@2","max_tokens":3,"messages":[{"role":"user","content":"` + generator.CrashMarker + `"}]}`
	status := 0
	for n, end := 0, time.Now().Add(9*time.Second); time.Now().Before(end); n++ {
		status, _ = post(t, s.Address(n%len(s.Instances)), "/v1/chat/completions", body)
		time.Sleep(50 * time.Millisecond)
	}
	at := crashed(s)
	if len(at) < 3 {
		t.Fatalf("%d engines crashed; the test shows nothing", len(at))
	}
	late := 0
	for _, began := range at[3:] {
		if began.Sub(at[2]) > 3*time.Second {
			late++
		}
	}
	if late > 3 {
		t.Errorf("%d runs began more than 3 s after the third crash, %d in all", late, len(at))
	}
	for i, instance := range s.Instances {
		if held := instance.Server.Status().Quarantine; len(held) != 1 || held[0].Crashes < 3 {
			t.Errorf("instance %d shows %+v in quarantine", i, held)
		}
	}
	if status != fasthttp.StatusServiceUnavailable {
		t.Errorf("status %d, want a refusal that says that it has not run", status)
	}
	status, answer := post(t, s.Address(0), "/v1/chat/completions", `{"model":"desk-7@2","max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`)
	if status != fasthttp.StatusOK {
		t.Errorf("another request: status %d: %s", status, answer)
	}
}
