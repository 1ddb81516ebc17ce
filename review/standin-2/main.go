// Command review2 plays the cases of the second review against the gateway, with stand-ins for the platform,
// the runners and the clients. All addresses are loopback addresses.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	p, err := newPlatform(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	current = p
	p.guard()
	broken := play(p, os.Getenv("TROUBLE") != "0")
	p.close()
	if broken != "" {
		p.record.add("verdict", "broken", broken)
		p.record.flush()
		fmt.Println("the rule was broken:", broken)
		os.Exit(1)
	}
	p.record.add("verdict", "held", true)
	p.record.flush()
	fmt.Println("the rule held")
}

// current is the platform of the case; nil before it is there.
var current *platform

// check ends the case, as one that could not run, after an error of the stand-ins.
func check(err error) {
	switch {
	case err == nil:
	case current != nil:
		current.giveUp(err.Error())
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

func unmarshal(data []byte, into any) error { return json.Unmarshal(data, into) }

func writeJSON(c net.Conn, status int, value any) bool {
	data := []byte("{}")
	if value != nil {
		data, _ = json.Marshal(value)
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(data), data)
	return err == nil
}

// A record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   *bufio.Writer
	file  *os.File
}

func (r *record) add(kind string, fields ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %s", time.Since(r.start).Seconds(), kind)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(r.out, " %v=%v", fields[i], fields[i+1])
	}
	fmt.Fprintln(r.out)
}

func (r *record) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}

// A platform holds the store, the runners and the instances of the program.
type platform struct {
	record  *record
	store   *store
	dir     string
	root    string
	version int
	zones   []string

	gates []*gate

	mu     sync.Mutex
	closed bool // no process is started any more
}

func newPlatform(folder string) (*platform, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target/sardinetiller")); err != nil {
		return nil, err
	}
	r := &record{start: time.Now(), out: bufio.NewWriter(file), file: file}
	return &platform{record: r, store: newStore("127.0.0.1:0"), dir: dir, root: root, zones: []string{"a"}}, nil
}

// caseTimeout bounds a case.
const caseTimeout = 110 * time.Second

// guard ends all processes and the case, as one that could not run, if it takes too long or is told to stop.
func (p *platform) guard() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(caseTimeout):
		}
		p.giveUp("the case took too long or was told to stop")
	}()
}

// giveUp ends all processes and the case, as one that could not run.
func (p *platform) giveUp(why string) {
	p.record.add("verdict", "could_not_run", why)
	p.close()
	p.record.flush()
	fmt.Fprintln(os.Stderr, why)
	os.Exit(2)
}

func (p *platform) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for _, g := range p.gates {
		g.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.dir)
	} else {
		fmt.Println("logs:", p.dir)
	}
}

// A gate is one instance of the program.
type gate struct {
	platform *platform
	name     string
	zone     string
	memory   int
	front    string
	ready    string
	control  string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	starts  int
	overAt  []time.Time // when it was ended as it had more memory than it may use
	over    int         // times that it was ended as it had more memory than it may use
}

func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (p *platform) newGate(name, zone, ip string, memory int) *gate {
	g := &gate{platform: p, name: name, zone: zone, memory: memory, front: freePort(ip), ready: freePort(ip), control: freePort(ip)}
	p.gates = append(p.gates, g)
	return g
}

// start starts the program as deploy/system.toml says, with the settings of its template filled in.
func (g *gate) start(first bool) {
	p := g.platform
	var b strings.Builder
	fmt.Fprintf(&b, "id: %s\ndomain: %s\ncaller: %q\nready: %q\npeer: %q\nplatform: %q\ndomains:\n", g.name, g.zone, g.front, g.ready, g.control, p.store.address)
	for _, z := range p.zones {
		fmt.Fprintf(&b, "  - %s\n", z)
	}
	fmt.Fprintf(&b, "first: %v\nlink: 1000.0\nmemory: %d\ncontracts:\n", first, g.memory)
	for _, c := range []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"} {
		fmt.Fprintf(&b, "  - %s\n", c)
	}
	b.WriteString("bounds:\n  grace: 8s\n  part: 0.2\n  quiet: 3000ms\n  slack: 58\n  window: 10s\n")
	file := filepath.Join(p.dir, g.name+".yaml")
	check(os.WriteFile(file, []byte(b.String()), 0o600))
	out, err := os.OpenFile(filepath.Join(p.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	c := exec.Command("target/sardinetiller", "gateway")
	c.Dir = p.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.dir, "SARDINETILLER_SETTINGS=" + file}
	c.Stdout, c.Stderr = out, out
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	check(c.Start())
	ended := make(chan struct{})
	g.mu.Lock()
	g.process, g.ended = c, ended
	g.starts++
	g.mu.Unlock()
	p.record.add("start", "instance", g.name, "pid", c.Process.Pid)
	go func() {
		err := c.Wait()
		p.record.add("end", "instance", g.name, "how", err)
		close(ended)
	}()
}

func (g *gate) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.process != nil {
		g.platform.record.add("signal", "instance", g.name, "signal", s)
		_ = g.process.Process.Signal(s)
	}
}

func (g *gate) kill() {
	g.mu.Lock()
	process, ended := g.process, g.ended
	g.mu.Unlock()
	if process == nil {
		return
	}
	select {
	case <-ended:
		return
	default:
	}
	_ = process.Process.Signal(syscall.SIGCONT)
	_ = process.Process.Kill()
	<-ended
}

// awaitReady waits until the instance is ready.
func (g *gate) awaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// resident returns the resident memory of the process in MB.
func (g *gate) resident() int {
	g.mu.Lock()
	process := g.process
	g.mu.Unlock()
	if process == nil {
		return 0
	}
	data, err := os.ReadFile("/proc/" + strconv.Itoa(process.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

// endedOver reports whether the process was ended within the last moment as it had too much memory.
func (g *gate) endedOver() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.overAt) > 0 && time.Since(g.overAt[len(g.overAt)-1]) < time.Second
}

// limitMemory ends the process once it has more memory than it may use, and starts it again, as the platform does.
func (g *gate) limitMemory(stop <-chan struct{}) {
	peak := 0
	for {
		select {
		case <-stop:
			g.platform.record.add("memory", "instance", g.name, "peak_mb", peak, "over", g.over)
			return
		case <-time.After(20 * time.Millisecond):
		}
		mb := g.resident()
		peak = max(peak, mb)
		if mb > g.memory {
			g.over++
			g.mu.Lock()
			g.overAt = append(g.overAt, time.Now())
			g.mu.Unlock()
			g.platform.record.add("over", "instance", g.name, "mb", mb, "limit", g.memory)
			g.kill()
			time.Sleep(500 * time.Millisecond)
			g.start(false)
		}
	}
}

type route struct {
	name, prefix, kind, service string
	timeout, goal, gap          int
	priority, attempts          int
	resume                      bool
}

// configure writes the next version of the configuration.
func (p *platform) configure(adapters, slots int, routes ...route) {
	p.version += 3
	list := []any{}
	for _, r := range routes {
		one := map[string]any{
			"name": r.name, "host": "desk.example", "prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeout, wire("{goal}"): r.goal, "priority": r.priority,
			"service": r.service, "max_attempts": r.attempts, "sticky": r.kind == "streaming", wire("{resume}"): r.resume,
		}
		if r.gap > 0 {
			one[wire("{gap}")] = r.gap
		}
		list = append(list, one)
	}
	p.store.put("op", "config", map[string]any{
		"version": p.version, "routes": list,
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity": 169357, "mb": 45600, wire("{slots}"): slots, "loads_per_s": 2.7,
				"models": []any{map[string]any{"name": "m0", "mb": 42700.0, "load_s": 1.7, "adapters": adapters, "adapter_mb": 66.0}},
			}},
			map[string]any{"name": "plain", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// An answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // no answer, or one that broke off
}

// ask sends a request and reads the answer.
func (p *platform) ask(c net.Conn, r *bufio.Reader, id, method, path string, body []byte, headers ...string) answer {
	p.record.add("sent", "request", id, "to", c.RemoteAddr(), "method", method, "path", path, "bytes", len(body), "headers", strings.Join(headers, "; "))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\n", method, path, id)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	_, err := io.WriteString(c, b.String())
	if err == nil && len(body) > 0 {
		_, err = c.Write(body)
	}
	_ = err // the answer may have come before the request was read
	a := read(r, method)
	p.record.add("answered", "request", id, "status", a.status, "stamp", a.header.Get(wire("{stamp}")), "retry", a.header.Get("Retry-After"), "bytes", len(a.body), "err", a.err)
	return a
}

func read(r *bufio.Reader, method string) answer {
	response, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err, header: http.Header{}}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}
