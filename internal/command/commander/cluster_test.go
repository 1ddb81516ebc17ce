package commander_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/command/commander"
	"github.com/sardinetiller/sardinetiller/internal/experiment/auditor"
	"github.com/sardinetiller/sardinetiller/internal/experiment/sampler"
	"github.com/sardinetiller/sardinetiller/internal/experiment/sender"
	"github.com/sardinetiller/sardinetiller/internal/experiment/stager"
	"github.com/sardinetiller/sardinetiller/internal/instance/server"
	"github.com/sardinetiller/sardinetiller/internal/standin/generator"
	"github.com/sardinetiller/sardinetiller/internal/standin/registrar"
	"github.com/sardinetiller/sardinetiller/internal/standin/responder"
	"github.com/sardinetiller/sardinetiller/internal/wire/requester"
)

// A cluster is a deployment of real processes: a platform, engines, a plain service
// and entry instances in domains a and b. Each instance reaches the platform, and
// is reached by its peers, through proxies of its own.
type cluster struct {
	t         *testing.T
	engines   []string
	instances map[string]*entryInstance
	mu        sync.Mutex
	platform  string
	service   string
}

// An entryInstance is an entry instance of a cluster.
type entryInstance struct {
	*process

	caller        string
	operator      string
	peerProxy     *toxiproxy.Proxy // in front of its peer address
	platformProxy *toxiproxy.Proxy // in front of the platform
	outOfRotation bool             // the balancer sends it no requests
}

const (
	clusterLease = 2 * time.Second
	clusterKey   = stager.Key
)

func newCluster(t *testing.T, fencing bool) *cluster {
	t.Helper()
	c := newClusterWithoutInstances(t, fencing)
	c.launch("a-1", "a")
	c.launch("a-2", "a")
	c.launch("b-1", "b")
	c.waitForOwners()
	return c
}

// newClusterWithoutInstances starts a cluster without entry instances.
func newClusterWithoutInstances(t *testing.T, fencing bool) *cluster {
	t.Helper()
	c := &cluster{t: t, instances: make(map[string]*entryInstance)}
	platform := start(t, "standin", "platform", "--listen", "127.0.0.1:0", "--rate", "60", "--together", "2", "--lag", "500ms")
	c.platform = platform.await(t, `platform at (\S+)`)
	service := start(t, "standin", "service", "--listen", "127.0.0.1:0")
	c.service = service.await(t, `service at (\S+)`)
	for i := range 3 {
		e := start(t, "standin", "engine", "--listen", "127.0.0.1:0", "--name", fmt.Sprint("r", i+1), "--slots", "3", "--batch", "4",
			"--step", "8ms", "--weights", c.platform, fmt.Sprintf("--fencing=%v", fencing))
		c.engines = append(c.engines, e.await(t, `engine at (\S+)`))
	}
	c.applySettings(fencing)
	return c
}

func (c *cluster) applySettings(fencing bool) {
	c.t.Helper()
	dir := c.t.TempDir()
	files := map[string]string{
		"root.yaml":    "kind: root\nvalues: {deadline: 10s}\nweights: {rate: 60, together: 2}\n",
		"account.yaml": "kind: account\nname: gujarat\nkeys:\n  - {hash: " + hashOf(clusterKey) + "}\nadapters:\n  - {name: desk, count: 12, versions: [1], service: exit-llm, base: b}\n",
		"service.yaml": fmt.Sprintf("kind: service\nname: records\ntype: plain\nupstreams:\n  - {name: s1, domain: a, address: %q, batch: 9}\n", c.service),
	}
	engines := "kind: service\nname: exit-llm\ntype: engine\nupstreams:\n"
	for i, address := range c.engines {
		engines += fmt.Sprintf("  - {name: r%d, domain: %s, address: %q, slots: 3, batch: 4, fencing: %v}\n", i+1, []string{"a", "a", "b"}[i], address, fencing)
	}
	files["engines.yaml"] = engines
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			c.t.Fatal(err)
		}
	}
	apply := start(c.t, "settings", "apply", dir, "--platform", c.platform)
	<-apply.done
	if code := apply.cmd.ProcessState.ExitCode(); code != commander.ExitOK {
		c.t.Fatalf("settings apply exited with %d: %s", code, apply.tail())
	}
}

// launch starts an entry instance. Extra lines are appended to its settings.
func (c *cluster) launch(id, domain string, extra ...string) {
	c.t.Helper()
	proxy := c.newProxy(id, c.platform)
	peers := c.newProxy(id+" peers", "127.0.0.1:1") // the settings need its address before the instance's address is known
	file := filepath.Join(c.t.TempDir(), id+".yaml")
	secret := filepath.Join(c.t.TempDir(), "secret")
	if err := os.WriteFile(secret, []byte("yard\n"), 0o600); err != nil {
		c.t.Fatal(err)
	}
	text := fmt.Sprintf("id: %s\ndomain: %s\ncaller: 127.0.0.1:0\npeer: 127.0.0.1:0\nadvertise: %s\noperator: 127.0.0.1:0\nplatform: %s\n"+
		"secret: %s\nlease: %s\nbeat: 200ms\npoll: 200ms\nnotice: 1500ms\ndrain: 20s\n", id, domain, peers.Listen, proxy.Listen, secret, clusterLease) + strings.Join(extra, "\n")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	e := &entryInstance{process: start(c.t, "serve", "--settings", file), peerProxy: peers, platformProxy: proxy}
	e.caller = e.await(c.t, `msg=started caller=(\S+)`)
	e.operator = e.await(c.t, `msg=started .* operator=(\S+)`)
	upstream := e.await(c.t, `msg=started .* peer=(\S+)`)
	waitFor(c.t, "the proxy listens again", func() bool {
		return peers.Update(&toxiproxy.Proxy{Listen: peers.Listen, Upstream: upstream, Enabled: true}) == nil
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[id] = e
}

// proxyCount counts the proxies. Each listens on a loopback address of its own: on
// a shared address, an outgoing connection could be assigned the port of a stopped
// proxy, which then could not be restarted. The library releases the port shortly
// after Stop returns, hence the waits.
var proxyCount atomic.Int64

// newProxy starts a proxy that a test can stop.
func (c *cluster) newProxy(name, upstream string) *toxiproxy.Proxy {
	c.t.Helper()
	n := proxyCount.Add(1)
	proxy := toxiproxy.NewProxy()
	proxy.Name, proxy.Listen, proxy.Upstream = name, fmt.Sprintf("127.1.%d.%d:0", 1+n/250, 1+n%250), upstream
	if err := proxy.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(proxy.Stop)
	return proxy
}

// stopProxies stops the proxies for d.
func (c *cluster) stopProxies(d time.Duration, proxies ...*toxiproxy.Proxy) {
	c.t.Helper()
	for _, p := range proxies {
		p.Stop()
	}
	time.Sleep(d)
	for _, p := range proxies {
		waitFor(c.t, "the proxy listens again", func() bool { return p.Start() == nil })
	}
}

// addresses returns the caller addresses in rotation at the balancer, by domain.
func (c *cluster) addresses() [][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := make([][]string, 2)
	for id, e := range c.instances {
		if !e.outOfRotation {
			domain := int(id[0] - 'a')
			addresses[domain] = append(addresses[domain], e.caller)
		}
	}
	return addresses
}

func (c *cluster) instance(id string) *entryInstance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[id]
}

// setOutOfRotation removes an instance from the balancer's rotation or adds it back.
func (c *cluster) setOutOfRotation(id string, out bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances[id].outOfRotation = out
}

// status returns the status of an instance, or false if it does not respond.
func (c *cluster) status(id string) (server.Status, bool) {
	var s server.Status
	ok := getJSON(c.instance(id).operator, server.PathStatus, &s)
	return s, ok
}

// waitForOwners waits until every instance knows an owner for every runner.
func (c *cluster) waitForOwners() {
	c.t.Helper()
	waitFor(c.t, "owners of all runners", func() bool {
		for id := range map[string]bool{"a-1": true, "a-2": true, "b-1": true} {
			s, ok := c.status(id)
			if !ok || !s.Ready || len(s.Runners) == 0 {
				return false
			}
			for _, r := range s.Runners {
				if r.Owner == "" {
					return false
				}
			}
		}
		return true
	})
}

// completion sends a completion request to an instance and returns the response body.
func (c *cluster) completion(id string) string {
	c.t.Helper()
	address := c.instance(id).caller
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+clusterKey)
	request.SetRequestURI("http://" + address + "/v1/completions")
	request.SetBodyString(`{"model":"desk-1@1","max_tokens":2,"prompt":"hello"}`)
	var r requester.Requester
	_, body, observation := r.ReadAll(context.Background(), address, request)
	if observation != nil {
		c.t.Fatalf("%s: %+v", id, observation)
	}
	return string(body)
}

// setFaults sets the faults that a stand-in injects.
func (c *cluster) setFaults(address string, faults any) {
	c.t.Helper()
	data, err := json.Marshal(faults)
	if err != nil {
		c.t.Fatal(err)
	}
	request := &fasthttp.Request{}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + registrar.PathControl)
	request.SetBody(data)
	var r requester.Requester
	if _, _, observation := r.ReadAll(context.Background(), address, request); observation != nil {
		c.t.Fatalf("control of %s: %+v", address, observation)
	}
}

// audit compares the records of the stand-ins with what the callers saw.
func (c *cluster) audit(results []sender.Result, planned bool) (auditor.Violations, []string) {
	c.t.Helper()
	audit := auditor.Audit{Results: results, Planned: planned}
	for _, address := range c.engines {
		var record generator.Record
		if !getJSON(address, generator.PathBooks, &record) {
			c.t.Fatalf("no record from %s", address)
		}
		audit.Engines = append(audit.Engines, record)
	}
	if !getJSON(c.service, responder.PathBooks, &audit.Calls) {
		c.t.Fatal("no record from the service")
	}
	return audit.Run(), audit.Details()
}

// startTraffic starts the workload; stop waits for its end and returns the results.
func (c *cluster) startTraffic(workload sampler.Workload) (stop func() []sender.Result) {
	c.t.Helper()
	calls, err := workload.Draw()
	if err != nil {
		c.t.Fatal(err)
	}
	s := sender.Sender{Addresses: c.addresses, Key: clusterKey, Service: "records"}
	var results []sender.Result
	done := make(chan struct{})
	go func() {
		defer close(done)
		results = s.Run(context.Background(), calls)
	}()
	return func() []sender.Result {
		<-done
		return results
	}
}

func getJSON(address, path string, into any) bool {
	request := &fasthttp.Request{}
	request.SetRequestURI("http://" + address + path)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var r requester.Requester
	status, body, observation := r.ReadAll(ctx, address, request)
	return observation == nil && status == fasthttp.StatusOK && json.Unmarshal(body, into) == nil
}
