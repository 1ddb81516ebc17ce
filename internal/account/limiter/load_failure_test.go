package limiter_test

import (
	"testing"
	"time"
)

// A failure of the load tests begins and ends in the middle of an excess.
type failure struct {
	name  string
	begin func(t *traffic)
	end   func(t *traffic)
}

const failureDuration = 3 * time.Second

var failures = []failure{
	{"a ledger gone", func(t *traffic) {
		t.sim.partition(time.Hour, func(i *instance) bool { return i.number == 0 })
	}, func(t *traffic) { t.strategy.succeed() }},
	{"two ledgers of one domain", func(t *traffic) { t.strategy.splitDomain() }, func(t *traffic) { t.strategy.joinDomain() }},
	{"a third partitioned", func(t *traffic) {
		t.sim.partition(failureDuration, func(i *instance) bool { return i.number%3 == 1 })
	}, func(*traffic) {}},
	{"an instance restarted", func(t *traffic) { t.strategy.restart(t.sim.instances[9]) }, func(*traffic) {}},
	{"a leader restarted", func(t *traffic) { t.strategy.restart(t.sim.instances[0]) }, func(*traffic) {}},
}

// Covers each load with each failure in the middle of it. Guards against quotas that are exceeded,
// levels that are starved, and urgent requests that lose their precedence for longer than the
// failure.
func TestLoadWithFailures(t *testing.T) {
	t.Parallel()
	for _, pattern := range []struct {
		name   string
		mix    [urgencies]float64
		load   float64
		lowers bool
	}{
		{"six times the usual", mixed, sixTimes, false},
		{"told to return", alike, 3.5, false},
		{"a lowered quota", [urgencies]float64{0.1, 0.3, 0.6}, calmLoad, true},
	} {
		for _, f := range failures {
			t.Run(pattern.name+", "+f.name, func(t *testing.T) {
				var urgent [2]float64
				for n, byUrgency := range []bool{false, true} {
					tr := newCalmTraffic(2, byUrgency, pattern.mix)
					if pattern.lowers {
						tr.lowerQuota()
					}
					began := tr.sim.now
					tr.run(4*time.Second, 2, pattern.load)
					f.begin(tr)
					tr.run(failureDuration, 2, pattern.load)
					f.end(tr)
					tr.run(4*time.Second, 2, pattern.load)
					for u, o := range tr.stats[hotAccount] {
						t.Logf("by urgency %t: urgency %d: %.3f of %d admitted first; %d returned, of which %.3f refused again", byUrgency, u,
							share(o.first, o.requests), o.requests, o.again+o.vain, share(o.vain, o.again+o.vain))
						if o.requests > 0 && share(o.first, o.requests) < 0.05 {
							t.Errorf("by urgency %t: urgency %d is starved", byUrgency, u)
						}
					}
					if excess := tr.sim.excess(); excess > 0 {
						t.Errorf("by urgency %t: %.0f tokens too many in a window", byUrgency, excess)
					}
					urgent[n] = share(tr.stats[hotAccount][0].first, tr.stats[hotAccount][0].requests)
					if all := tr.sum(hotAccount); byUrgency && share(all.vainSince(began.Add(longExcess+excessSeen)), all.refused) > 0.05 {
						t.Errorf("%d of %d refused callers are refused again", all.vainSince(began.Add(longExcess+excessSeen)), all.refused)
					}
				}
				if pattern.mix[0] > 0 && urgent[1] < 1.5*urgent[0] {
					t.Errorf("of the most urgent requests %.3f are admitted first, and %.3f by urgency", urgent[0], urgent[1])
				}
			})
		}
	}
}
