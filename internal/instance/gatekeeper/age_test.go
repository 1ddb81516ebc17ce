package gatekeeper

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
)

// Guards against an instance that serves an older configuration than the others, as its watch
// call is not answered, without anything in the metrics or the log: nothing fails and nothing
// is refused, so only the age of the view and the duration of the call distinguish it from an
// instance that received the change and lost it.
func TestAgeOfTheConfigurationAndItsCauseAreExported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := newGatekeeperWithStore()
		var log, page bytes.Buffer
		g.Metrics = metrics.NewSet()
		g.Recorder = &recorder.Recorder{Metrics: g.Metrics, Out: &log}
		g.setViews()
		g.registerAgeGauges()
		ctx, cancel := context.WithCancel(t.Context())
		stop := make(chan struct{})
		go g.Recorder.Run(stop)
		go g.watchOperator(ctx)
		go g.logAges(ctx)
		time.Sleep(time.Second)
		store.set(hangs)
		store.configure(2) // the call in progress is answered; the next one is not
		time.Sleep(4*time.Second + 10*time.Millisecond)
		g.Metrics.WritePrometheus(&page)
		cancel()
		close(stop)
		synctest.Wait()
		first, _, _ := strings.Cut(page.String(), "sardinetiller_log")
		counters := make(map[string]float64)
		for l := range strings.Lines(first) {
			name, value, _ := strings.Cut(strings.TrimSpace(l), " ")
			counters[name], _ = strconv.ParseFloat(value, 64)
		}
		if counters["sardinetiller_belief_config_version"] != 2 {
			t.Errorf("the metrics page lacks the version in force:\n%s", first)
		}
		if age := counters[`sardinetiller_belief_age_seconds{table="operator"}`]; age < 4 || age > 6 {
			t.Errorf("age of the configuration %v s:\n%s", age, first)
		}
		if counters[`sardinetiller_belief_waits_seconds{table="operator"}`]+counters[`sardinetiller_belief_failed_calls{table="operator"}`] == 0 {
			t.Errorf("no reason for the age in the metrics:\n%s", first)
		}
		line := ""
		for l := range strings.Lines(log.String()) {
			if strings.Contains(l, "msg=age table=operator") {
				line = l
			}
		}
		if !regexp.MustCompile(`version=2 .*age=[45]\.\S+s waits=\S+ failed=\d+ err=`).MatchString(line) {
			t.Errorf("the log line lacks age or reason: %q", line)
		}
	})
}

// The store stops answering for a while. Guards against a log that does not show from when to
// when an instance may have served an older configuration, and why.
func TestAnOldConfigurationIsLoggedUntilItIsCurrentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, store := newGatekeeperWithStore()
		var log bytes.Buffer
		g.Recorder = &recorder.Recorder{Metrics: metrics.NewSet(), Out: &log}
		ctx, cancel := context.WithCancel(t.Context())
		stop := make(chan struct{})
		go g.Recorder.Run(stop)
		go g.watchOperator(ctx)
		time.Sleep(10 * time.Second)
		store.set(hangs)
		time.Sleep(10 * time.Second)
		store.set(serves)
		time.Sleep(10 * time.Second)
		cancel()
		close(stop)
		synctest.Wait()
		var got []string
		for l := range strings.Lines(log.String()) {
			if m := regexp.MustCompile(`msg="(may be old|current again)" table=operator .*failed=(\d)`).FindStringSubmatch(l); m != nil {
				got = append(got, fmt.Sprint(m[1], ", calls fail: ", m[2] != "0"))
			}
		}
		if diff := cmp.Diff([]string{"may be old, calls fail: true", "current again, calls fail: false"}, got); diff != "" {
			t.Error(diff)
		}
	})
}

func TestViewState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var v view
		start := time.Now()
		if diff := cmp.Diff(viewState{Age: never}, v.state(start)); diff != "" {
			t.Error("before the first call:", diff)
		}
		v.watchBegan(start, nil)
		if diff := cmp.Diff(viewState{Age: never, Waits: time.Second}, v.state(start.Add(time.Second))); diff != "" {
			t.Error("while a call is under way:", diff)
		}
		v.watchEnded()
		v.callEnded(nil)
		v.recordCall(nil, 7, start)
		if diff := cmp.Diff(viewState{After: 7, Age: time.Minute}, v.state(start.Add(time.Minute))); diff != "" {
			t.Error("after the call:", diff)
		}
		v.callEnded(errNoAnswer)
		v.callEnded(errNoAnswer)
		got := v.state(start)
		if got.Failed != 2 || got.Err == nil {
			t.Errorf("after two failed calls: %+v", got)
		}
		v.callEnded(nil)
		if got := v.state(start); got.Failed != 0 || got.Err != nil {
			t.Errorf("after a successful call: %+v", got)
		}
	})
}
