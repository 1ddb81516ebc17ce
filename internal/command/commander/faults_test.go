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

// loadSpan is the duration of the workload of each test case. Faults start and end
// within it; the checks do not depend on how much was completed.
const loadSpan = 7 * time.Second

func faultWorkload() sampler.Workload {
	return sampler.Workload{
		Adapters: 12, Away: 0.3, Calls: 350, Group: "desk", Once: 0.5, Plain: 0.15, Seed: 1,
		Shape: sampler.Zipf, Skew: 1.1, Span: loadSpan, Tokens: 12, Versions: 1,
	}
}

// Runs real processes under load and injects one fault at a time or several
// together. What the callers saw must agree with the records of the stand-ins:
// complete responses from the requested adapter, not_run only for requests that
// were not executed, at most one execution of requests that must not be
// repeated, and no adapter evicted while it serves a request.
func TestInvariantsUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		fencing bool
		planned bool // no request may be aborted or rejected because of it
		fault   func(c *cluster)
	}{
		// The owner of runners is paused beyond its lease while it sends requests
		// and orders. Another instance takes over; then the previous owner resumes
		// and acts on stale state.
		{"owner paused, engine checks fencing", true, false, pauseOwnerPastLease},
		{"owner paused, engine ignores fencing", false, false, pauseOwnerPastLease},
		// An instance is killed with requests in flight and open idempotency claims.
		{"instance killed", false, false, killInstance},
		// Engines restart empty under load; adapters assumed resident are missing.
		{"cold start", true, false, restartEngines},
		// Loads fail, and orders are executed but their responses are lost.
		{"order responses lost and loads failed", false, false, loseOrderResponses},
		// The platform is unavailable for twice the lease duration.
		{"platform unavailable", false, false, takePlatformDown},
		// Writes take effect but their responses are lost.
		{"commit responses lost", true, false, loseCommitResponses},
		// One instance cannot reach the platform but can reach its peers.
		{"instance partitioned from platform", false, false, partitionFromPlatform},
		// One instance can reach its peers but not be reached by them.
		{"instance partitioned from its peers", false, false, partitionFromPeers},
		// No instance can reach another, and one domain cannot reach the platform.
		{"all instances partitioned", true, false, partitionAll},
		// Responses of an engine and of the plain service are truncated or missing.
		{"responses truncated", true, false, truncateResponses},
		// An engine reports that it is draining.
		{"upstream drains", true, true, drainUpstream},
		// All instances are replaced under load, one after another.
		{"rolling replacement", true, true, rollingReplacement},
		{"all at once", false, false, allAtOnce},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, tc.fencing)
			stop := c.startTraffic(faultWorkload())
			time.Sleep(loadSpan / 7)
			tc.fault(c)
			results := stop()
			violations, details := c.audit(results, tc.planned)
			if violations != (auditor.Violations{}) {
				t.Errorf("%+v\n%v", violations, details)
			}
			complete := 0
			for _, r := range results {
				if r.Complete {
					complete++
				}
			}
			t.Logf("%d of %d received a complete response", complete, len(results))
			if complete == 0 {
				t.Error("no request received a complete response, so nothing was checked")
			}
		})
	}
}

// The platform is unavailable when an instance starts. Without an instance list it
// contacts its seed, fetches the active settings from it and serves by forwarding
// requests. An instance without seeds must report that it is not ready and reject
// requests with not_run.
func TestStartsWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, true)
	c.completion("a-1") // loads the adapter first, since the weight store becomes unavailable too
	c.setFaults(c.platform, registrar.Faults{Down: true})
	c.launch("a-3", "a", "seeds: ["+c.instance("a-1").peerProxy.Listen+"]")
	c.launch("a-4", "a")
	waitFor(t, "the instance with a seed has settings and knows the owners", func() bool {
		s, ok := c.status("a-3")
		return ok && s.Ready && s.Revision == 1 && len(s.Runners) == 2 && s.Runners[0].Owner != "" && s.Runners[1].Owner != ""
	})
	for id, want := range map[string]string{"a-3": `"text"`, "a-4": `"verdict":"not_run"`} {
		if body := c.completion(id); !strings.Contains(body, want) {
			t.Errorf("%s responded %s, want %s", id, body, want)
		}
	}
}

func pauseOwnerPastLease(c *cluster) {
	c.instance("a-1").signal(syscall.SIGSTOP)
	c.setOutOfRotation("a-1", true)
	time.Sleep(2 * clusterLease)
	c.instance("a-1").signal(syscall.SIGCONT)
	c.setOutOfRotation("a-1", false)
}

func killInstance(c *cluster) {
	c.instance("a-1").signal(syscall.SIGKILL)
	c.launch("a-1", "a")
}

func restartEngines(c *cluster) {
	for range 3 {
		for _, e := range c.engines {
			c.setFaults(e, generator.Faults{Restart: true})
			time.Sleep(loadSpan / 20)
		}
	}
}

func loseOrderResponses(c *cluster) {
	for _, e := range c.engines {
		c.setFaults(e, generator.Faults{Lose: 6, Fail: 6, Stall: 50 * time.Millisecond})
	}
}

func takePlatformDown(c *cluster) {
	c.setFaults(c.platform, registrar.Faults{Down: true})
	time.Sleep(2 * clusterLease)
	c.setFaults(c.platform, registrar.Faults{})
}

func loseCommitResponses(c *cluster) {
	for range 10 {
		c.setFaults(c.platform, registrar.Faults{Lose: 5, Slow: 20 * time.Millisecond})
		time.Sleep(loadSpan / 20)
	}
	c.setFaults(c.platform, registrar.Faults{})
}

func partitionFromPlatform(c *cluster) {
	c.stopProxies(2*clusterLease, c.instance("a-1").platformProxy)
}

func partitionFromPeers(c *cluster) {
	c.stopProxies(2*clusterLease, c.instance("a-1").peerProxy)
}

func partitionAll(c *cluster) {
	c.stopProxies(2*clusterLease, c.instance("a-1").peerProxy, c.instance("a-2").peerProxy, c.instance("b-1").peerProxy, c.instance("b-1").platformProxy)
}

func truncateResponses(c *cluster) {
	for _, e := range c.engines {
		c.setFaults(e, generator.Faults{Cut: 8, Refuse: 8})
	}
	c.setFaults(c.service, responder.Faults{Lose: 5})
}

func drainUpstream(c *cluster) {
	c.setFaults(c.engines[0], generator.Faults{Leaving: true})
}

func rollingReplacement(c *cluster) {
	for _, id := range []string{"a-1", "a-2", "b-1"} {
		c.launch(id+"x", id[:1])
		waitFor(c.t, id+"x is ready", func() bool {
			s, ok := c.status(id + "x")
			return ok && s.Ready && len(s.Runners) > 0
		})
		old := c.instance(id)
		old.signal(syscall.SIGTERM)
		time.Sleep(300 * time.Millisecond) // until the balancer has removed it; the instance still serves
		c.setOutOfRotation(id, true)
		<-old.done
	}
}

func allAtOnce(c *cluster) {
	loseOrderResponses(c)
	c.setFaults(c.platform, registrar.Faults{Lose: 10, Slow: 20 * time.Millisecond})
	c.instance("a-1").signal(syscall.SIGSTOP)
	c.setOutOfRotation("a-1", true)
	c.setFaults(c.engines[1], generator.Faults{Restart: true})
	c.instance("b-1").signal(syscall.SIGKILL)
	c.launch("b-1", "b")
	time.Sleep(2 * clusterLease)
	c.instance("a-1").signal(syscall.SIGCONT)
	c.setOutOfRotation("a-1", false)
	partitionFromPlatform(c)
}
