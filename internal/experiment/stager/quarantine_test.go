package stager_test

import (
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/experiment/stager"
	"github.com/sardinetiller/sardinetiller/internal/standin/generator"
)

// crashTimes returns when engines started to execute the request that crashes them.
func crashTimes(d *stager.Deployment) []time.Time {
	var at []time.Time
	for _, e := range d.Engines {
		for _, r := range e.Record().Runs {
			if r.Marker == generator.CrashMarker {
				at = append(at, r.AcceptedAt)
			}
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	return at
}

// One request is retried at all instances and crashes each engine that executes it;
// other requests of the engine are aborted, and it restarts empty. Without shared
// knowledge of earlier crashes this went on for as long as the caller retried. Later
// than three seconds after the third crash at most three more executions may start.
func TestRequestThatCrashesEnginesIsRejected(t *testing.T) {
	d := smallDeployment(t)
	body := `{"model":"desk-7@2","max_tokens":3,"messages":[{"role":"user","content":"` + generator.CrashMarker + `"}]}`
	status := 0
	for n, end := 0, time.Now().Add(9*time.Second); time.Now().Before(end); n++ {
		status, _ = post(t, d.Address(n%len(d.Instances)), "/v1/chat/completions", body)
		time.Sleep(50 * time.Millisecond)
	}
	crashes := crashTimes(d)
	if len(crashes) < 3 {
		t.Fatalf("%d engines crashed, too few for the test", len(crashes))
	}
	late := 0
	for _, crash := range crashes[3:] {
		if crash.Sub(crashes[2]) > 3*time.Second {
			late++
		}
	}
	if late > 3 {
		t.Errorf("%d executions started more than 3 s after the third crash, %d in all", late, len(crashes))
	}
	for i, instance := range d.Instances {
		if quarantined := instance.Server.Status().Quarantine; len(quarantined) != 1 || quarantined[0].Crashes < 3 {
			t.Errorf("instance %d shows %+v in quarantine", i, quarantined)
		}
	}
	if status != fasthttp.StatusServiceUnavailable {
		t.Errorf("status %d, want a rejection with not_run", status)
	}
	status, response := post(t, d.Address(0), "/v1/chat/completions", `{"model":"desk-7@2","max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`)
	if status != fasthttp.StatusOK {
		t.Errorf("another request: status %d: %s", status, response)
	}
}

// The request is quarantined, and then all instances are replaced. The new instances know
// only what is stored in the table: without it the request would crash three more engines.
func TestQuarantineSurvivesReplacingAllInstances(t *testing.T) {
	d := smallDeployment(t)
	body := `{"model":"desk-7@2","max_tokens":3,"messages":[{"role":"user","content":"` + generator.CrashMarker + `"}]}`
	quarantined := func(i *stager.Instance) bool { return len(i.Server.Status().Quarantine) > 0 }
	for end := time.Now().Add(20 * time.Second); !quarantined(d.Instances[0]) || !quarantined(d.Instances[1]); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not quarantined within 20 s")
		}
		post(t, d.Address(0), "/v1/chat/completions", body)
	}
	time.Sleep(2 * d.Plan.Poll) // until the crash reports are stored
	for _, i := range d.Instances {
		i.Stop()
	}
	before := len(crashTimes(d))
	for _, domain := range []string{d.Instances[0].Server.Config.Domain, d.Instances[1].Server.Config.Domain} {
		i, err := d.Launch(domain+"-new", domain)
		if err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(20 * time.Second); !quarantined(i); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("a new instance of %s does not quarantine it", domain)
			}
		}
		if status, _ := post(t, i.Server.Listeners.Caller.Addr().String(), "/v1/chat/completions", body); status != fasthttp.StatusServiceUnavailable {
			t.Errorf("status %d at a new instance of %s", status, domain)
		}
	}
	if after := len(crashTimes(d)); after != before {
		t.Errorf("%d engines crashed after the restart", after-before)
	}
}
