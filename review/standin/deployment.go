//go:build review

package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the program of the deploy file.
const program = "target/sardinetiller"

// zones are the failure domains of a deployment.
var zones = []string{"naroda-hall", "vatva-hall"}

// A deployment is a store, runners, and gateway processes.
type deployment struct {
	rec     *record
	store   *store
	runners []*runner
	fronts  []*front
	loads   storeLoads
	dir     string
	version int // of the configuration
}

// A front is one gateway process.
type front struct {
	name     string
	zone     string
	caller   string // addresses
	ready    string
	peer     string
	outbound string // IP address of its connections to runners
	links    *proxy // through which the other instances reach it
	storage  *proxy // through which it reaches the store
	settings string // file
	rec      *record

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	how     string        // how it ended; empty if it was killed
	killed  bool
	output  *tail
}

func newDeployment(rec *record) (*deployment, error) {
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &deployment{rec: rec, store: s, dir: dir}, nil
}

// close ends all processes.
func (d *deployment) close() {
	for _, f := range d.fronts {
		f.kill()
		if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
			_ = os.WriteFile(filepath.Join(dir, f.name+".log"), f.output.data, 0o600)
		}
	}
	_ = d.store.server.Close()
	_ = os.RemoveAll(d.dir)
}

// configure writes the next version of the configuration.
func (d *deployment) configure() {
	d.version += 3
	route := func(prefix, kind, service string, resume bool, attempts, timeout, goal, gap int) map[string]any {
		return map[string]any{
			"name": "r" + strings.Trim(prefix, "/"), "host": "desk.example", "prefix": prefix, "kind": kind, "timeout_ms": timeout, names.Goal: goal,
			"priority": 1, "service": service, "max_attempts": attempts, names.Resume: resume, names.Gap: gap, "sticky": kind == "streaming",
		}
	}
	d.store.put("op", "config", map[string]any{
		"version": d.version,
		"routes": []any{
			route("/live/", "streaming", "exit-llm", true, 2, 12000, 500, 250),
			route("/review/", "streaming", "exit-llm", false, 1, 20000, 1000, 250),
			route("/file/", "non_idempotent", "survey-records", false, 1, 1500, 150, 0),
			route("/fetch/", "idempotent", "survey-records", false, 2, 1500, 150, 0),
		},
		"services": []any{
			map[string]any{"name": "exit-llm", "health_path": "/healthz", "max_conns": 370, "engine": map[string]any{
				"mb": 45600, names.Slots: 31, "loads_per_s": 2.7,
				"models": []any{map[string]any{"name": modelName, "mb": 42700, "load_s": 1.7, "adapters": 3000, "adapter_mb": 66}},
			}},
			map[string]any{"name": "survey-records", "health_path": "/healthz", "max_conns": 110},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// addRunner starts a runner and registers it.
func (d *deployment) addRunner(id, service, zone, version string, engine bool) (*runner, error) {
	r, err := newRunner(d.rec, &d.loads, id, service, zone, version, engine)
	if err != nil {
		return nil, err
	}
	d.runners = append(d.runners, r)
	return r, nil
}

// register writes the row of a runner.
func (d *deployment) register(r *runner) {
	d.rec.log("%s registers: service %s, software version %s, zone %s", r.id, r.service, r.version, r.zone)
	d.store.put("servers", r.id, r.row())
}

// addFront starts a gateway process, when the deployment starts for the first time.
func (d *deployment) addFront(name, zone string) error { return d.startFront(name, zone, true) }

// addLateFront starts a gateway process in a deployment that has started before.
func (d *deployment) addLateFront(name, zone string) error { return d.startFront(name, zone, false) }

func (d *deployment) startFront(name, zone string, first bool) error {
	ports, err := freePorts(4)
	if err != nil {
		return err
	}
	f := &front{name: name, zone: zone, rec: d.rec, outbound: fmt.Sprintf("127.0.3.%d", len(d.fronts)+1)}
	f.caller, f.ready, f.peer = ports[0], ports[1], ports[2]
	if f.links, err = newProxy(f.peer); err != nil {
		return err
	}
	f.links.identify = senderOfLink
	if f.storage, err = newProxy(d.store.address); err != nil {
		return err
	}
	f.settings = filepath.Join(d.dir, name+".yaml")
	// As the platform fills in deploy/gateway.yaml, and two addresses more: the IP address of the machine,
	// which tells the instances apart at the proxies, and the proxy before its address for peers.
	var b bytes.Buffer
	fmt.Fprintf(&b, "id: %s\ndomain: %s\ncaller: %q\nready: %q\npeer: %q\nmetrics: %q\nplatform: %q\n", name, zone, f.caller, f.ready, f.peer, ports[3], f.storage.address)
	fmt.Fprintf(&b, "advertise: %q\noutbound: %q\n", f.links.address, f.outbound)
	fmt.Fprintf(&b, "domains:\n  - %s\nfirst: %t\nlink: 1000\ncontracts:\n", strings.Join(zones, "\n  - "), first)
	for _, c := range []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"} {
		fmt.Fprintf(&b, "  - %s\n", c)
	}
	b.WriteString("bounds:\n  grace: 8s\n  part: 0.2\n  quiet: 3000ms\n  slack: 58\n  window: 10s\n")
	if err := os.WriteFile(f.settings, b.Bytes(), 0o600); err != nil {
		return err
	}
	d.fronts = append(d.fronts, f)
	return f.start()
}

// senderOfLink returns the name of the instance that dialed a link to another one. Its first message after
// the handshake of the WebSocket holds its name.
func senderOfLink(sent []byte) string {
	_, frame, ok := bytes.Cut(sent, []byte("\r\n\r\n"))
	if !ok || len(frame) < 2 {
		return ""
	}
	header := 2
	switch frame[1] & 0x7f {
	case 126:
		header += 2
	case 127:
		header += 8
	}
	const maskSize = 4
	if len(frame) < header+maskSize {
		return ""
	}
	mask, payload := frame[header:header+maskSize], bytes.Clone(frame[header+maskSize:])
	for n := range payload {
		payload[n] ^= mask[n%maskSize]
	}
	const prefix = "front-"
	at := bytes.Index(payload, []byte(prefix))
	if at < 0 || at+len(prefix) >= len(payload) {
		return ""
	}
	return string(payload[at : at+len(prefix)+1])
}

// cutOff partitions an instance from the store and from all other instances, or ends that. Callers and
// runners reach it all the while.
func (d *deployment) cutOff(f *front, kind cutKind) {
	f.storage.cut(loopback, kind)
	for _, other := range d.fronts {
		if other == f {
			continue
		}
		other.links.cut(f.name, kind)
		f.links.cut(other.name, kind)
	}
}

// loopback is the IP address from which the instances call the store.
const loopback = "127.0.0.1"

func freePorts(n int) (addresses []string, err error) {
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

func (f *front) start() error {
	cmd := exec.Command(program, "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SARDINETILLER_SETTINGS=" + f.settings}
	output := &tail{}
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	f.rec.log("%s starts: process %d, %s", f.name, cmd.Process.Pid, f.zone)
	ended := make(chan struct{})
	f.mu.Lock()
	f.process, f.ended, f.output, f.killed, f.how = cmd, ended, output, false, ""
	f.mu.Unlock()
	go func() {
		err := cmd.Wait()
		f.mu.Lock()
		if !f.killed {
			f.how = fmt.Sprint(err)
			f.rec.log("%s ENDED BY ITSELF: %v; the end of its output:\n%s", f.name, err, output.end())
		}
		f.mu.Unlock()
		close(ended)
	}()
	return nil
}

// restart starts the process again. The deployment no longer starts for the first time.
func (f *front) restart() error {
	settings, err := os.ReadFile(f.settings)
	if err != nil {
		return err
	}
	settings = bytes.Replace(settings, []byte("first: true"), []byte("first: false"), 1)
	if err := os.WriteFile(f.settings, settings, 0o600); err != nil {
		return err
	}
	return f.start()
}

// kill kills the process and waits for its end.
func (f *front) kill() {
	f.mu.Lock()
	f.killed = true
	cmd, ended := f.process, f.ended
	f.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-ended
}

// endedByItself returns how the process ended without being killed; empty if it has not.
func (f *front) endedByItself() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.how
}

// isReady asks as the platform does.
func (f *front) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + f.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready, and a moment more until they know each other.
func (d *deployment) awaitReady() error {
	for _, f := range d.fronts {
		if err := await(f.name+" is ready", f.isReady); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

// awaitLimit is how long a case waits for what it needs to begin.
const awaitLimit = 20 * time.Second

func await(what string, condition func() bool) error {
	for end := time.Now().Add(awaitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("timed out after %s: %s", awaitLimit, what)
}

// A tail is the output of a process.
type tail struct {
	mu   sync.Mutex
	data []byte
}

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data = append(t.data, p...)
	return len(p), nil
}

// end returns the last lines, from a panic on if there is one.
func (t *tail) end() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	from := max(0, len(t.data)-1500)
	if at := bytes.Index(t.data, []byte("panic: ")); at >= 0 {
		from = at
	}
	return string(t.data[from:min(len(t.data), from+2500)])
}
