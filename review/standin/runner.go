//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineSlots = 64                     // requests that an engine runner runs at once
	plainSlots  = 6                      // the same of a plain service
	plainQueue  = 24                     // requests that wait at a runner of a plain service
	adapterLoad = 250 * time.Millisecond // load time of an adapter while no more than fullSpeed are loaded
	fullSpeed   = 8
	prefillTime = 25 * time.Millisecond // of a prompt, until the first event
	longStream  = 58                    // events of a stream
	shortStream = 5
	shortPause  = 26 * time.Millisecond // before each event of a short stream: five steps of the engine
	eventPause  = 40 * time.Millisecond // before each of them
	modelName   = "m0"
)

// A runner is a runner of one service. Its exported behaviour is set before it is registered.
type runner struct {
	id       string
	service  string
	zone     string
	version  string // of its software
	engine   bool
	work     time.Duration // of a request to a plain service
	size     int           // of the body of its answers, in bytes; 0 for a few
	events   int           // of a stream
	pause    time.Duration // before each of them
	address  string        // where it listens
	front    *proxy        // through which instances reach it
	rec      *record
	born     int64
	listener net.Listener

	mu         sync.Mutex
	failing    float64 // fraction of its requests that it fails with status 500
	repeating  float64 // fraction of its responses that it sends a second time, late
	repeated   int     // responses that it has sent a second time
	responses  int     // responses sent while it repeats some
	loads      *storeLoads
	running    int
	waiting    int
	free       *sync.Cond
	resident   map[string]bool // NAME@VERSION
	loading    map[string]time.Time
	sequence   uint64
	runs       map[string]int // by Request-Id
	ended      map[string]string
	orderCount int
	onOrder    func(r *runner, holder string, fence uint64) // nil for none
}

func newRunner(rec *record, loads *storeLoads, id, service, zone, version string, engine bool) (*runner, error) {
	r := &runner{
		id: id, service: service, zone: zone, version: version, engine: engine, rec: rec, loads: loads, born: time.Now().UnixMilli(), work: 30 * time.Millisecond, events: longStream, pause: eventPause,
		resident: make(map[string]bool), loading: make(map[string]time.Time), runs: make(map[string]int), ended: make(map[string]string),
	}
	r.free = sync.NewCond(&r.mu)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.listener, r.address = l, l.Addr().String()
	if r.front, err = newProxy(r.address); err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

// row returns the row that the runner writes to the store.
func (r *runner) row() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := map[string]any{
		"service": r.service, "address": r.front.address, "zone": r.zone, "version": r.version, "slots": r.slots(), "state": "ready",
		names.Cold: 0, "sequence": r.sequence, "born": r.born,
	}
	if r.engine {
		row["stage"] = "both"
		row["models"] = []any{map[string]any{"name": modelName, "version": 1, "adapters": []string{}}}
	}
	return row
}

func (r *runner) slots() int {
	if r.engine {
		return engineSlots
	}
	return plainSlots
}

// A lateConn is a connection on which the runner may send its last response a second time, at the
// point where the next one is expected.
type lateConn struct {
	net.Conn

	last []byte // to be sent again before the next response; nil for none
}

func (r *runner) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	c := &lateConn{Conn: conn}
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if c.last != nil {
			r.rec.log("%s sends its last response again, before that to %s %s: %q", r.id, request.URL.Path, request.Header.Get("Request-Id"), firstLine(c.last))
			if _, err := conn.Write(c.last); err != nil {
				return
			}
			c.last = nil
		}
		if !r.handle(c, reader, request, body) {
			return
		}
	}
}

func firstLine(message []byte) string {
	line, _, _ := strings.Cut(string(message), "\r\n")
	return line
}

// respond sends a complete response. It may be sent again later.
func (r *runner) respond(c *lateConn, message string) bool {
	if _, err := io.WriteString(c, message); err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.repeating > 0 {
		r.responses++
		if rand.Float64() < r.repeating {
			r.repeated++
			c.last = []byte(message)
		}
	}
	return true
}

func (r *runner) handle(c *lateConn, reader *bufio.Reader, request *http.Request, body []byte) (keep bool) {
	if expected := request.Header.Get(names.Instance); expected != "" && expected != r.id {
		return r.reject(c, request, http.StatusMisdirectedRequest)
	}
	switch request.URL.Path {
	case "/order":
		return r.respond(c, r.order(body))
	case "/report":
		return r.respond(c, r.report())
	}
	return r.run(c, reader, request)
}

// reject sends a response that says that the request does not run.
func (r *runner) reject(c *lateConn, request *http.Request, status int) bool {
	id := request.Header.Get("Request-Id")
	r.rec.log("%s rejects %s with %d", r.id, id, status)
	return r.respond(c, fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nInstance-Id: %s\r\n"+names.NotExecuted+": 1\r\n"+names.Load+": %s\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), id, r.id, r.load()))
}

func (r *runner) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.slots())
}

// begin waits for a slot; ok is false if the queue is full.
func (r *runner) begin() (ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.slots() && r.waiting >= plainQueue {
		return false
	}
	r.waiting++
	for r.running >= r.slots() {
		r.free.Wait()
	}
	r.waiting--
	r.running++
	return true
}

func (r *runner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.free.Signal()
}

// holds reports whether the runner holds what a request names.
func (r *runner) holds(request *http.Request) bool {
	if !r.engine {
		return true
	}
	model, adapter, named := strings.Cut(request.Header.Get("Model"), "/")
	if model != modelName {
		return false
	}
	if !named {
		return true
	}
	version := request.Header.Get(names.Version)
	if version == "" {
		version = "1"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishLoads()
	return r.resident[adapter+"@"+version]
}

// run runs a request of a caller.
func (r *runner) run(c *lateConn, reader *bufio.Reader, request *http.Request) (keep bool) {
	id := request.Header.Get("Request-Id")
	if id == "" {
		return r.reject(c, request, http.StatusBadRequest)
	}
	if !r.holds(request) {
		return r.reject(c, request, http.StatusMisdirectedRequest)
	}
	if !r.begin() {
		return r.reject(c, request, http.StatusServiceUnavailable)
	}
	defer r.end()
	r.mu.Lock()
	failing := rand.Float64() < r.failing
	r.mu.Unlock()
	gone := watch(c, reader)
	defer gone.stop()
	stamp := fmt.Sprintf("Request-Id: %s\r\n"+names.Stamp+": %s.%s\r\nInstance-Id: %s\r\n"+names.Load+": %s\r\n", id, r.id, id, r.id, r.load())
	if failing || !r.engine {
		r.noteBegin(request)
	}
	if failing {
		time.Sleep(10 * time.Millisecond)
		r.note(id, "500")
		gone.stop()
		return r.respond(c, "HTTP/1.1 500 Internal Server Error\r\n"+stamp+"Content-Length: 6\r\n\r\nfailed")
	}
	if !r.engine {
		select {
		case <-time.After(r.work):
		case <-gone.closed:
			r.note(id, "its connection was closed")
			return false
		}
		r.note(id, "200")
		gone.stop()
		body := "record: " + id
		if r.size > len(body) {
			body += strings.Repeat(".", r.size-len(body))
		}
		return r.respond(c, "HTTP/1.1 200 OK\r\n"+stamp+fmt.Sprintf("Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	}
	return r.stream(c, request, stamp, gone)
}

// stream sends the events after the one that the request names.
func (r *runner) stream(c *lateConn, request *http.Request, stamp string, gone *watcher) (keep bool) {
	id := request.Header.Get("Request-Id")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	head, pause := "HTTP/1.1 200 OK\r\n"+stamp+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", prefillTime
	for n := last + 1; n <= r.events; n++ {
		select {
		case <-time.After(pause):
		case <-gone.closed:
			r.note(id, fmt.Sprintf("its connection was closed after event %d", n-1))
			return false
		}
		if n == last+1 {
			r.noteBegin(request)
		}
		event := fmt.Sprintf("id: %d\ndata: %s of %s\n\n", n, r.version, r.id)
		if _, err := fmt.Fprintf(c, "%s%x\r\n%s\r\n", head, len(event), event); err != nil {
			r.note(id, fmt.Sprintf("its connection was closed after event %d", n-1))
			return false
		}
		head, pause = "", r.pause
	}
	r.note(id, "200, whole")
	gone.stop()
	_, err := io.WriteString(c, head+"0\r\n\r\n")
	return err == nil
}

// noteBegin records that a request begins to run: that of an engine with its first token.
func (r *runner) noteBegin(request *http.Request) {
	id := request.Header.Get("Request-Id")
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.rec.log("%s (%s %s) runs %s, Last-Event-Id %q", r.id, r.service, r.version, id, request.Header.Get("Last-Event-Id"))
}

// note records how a run ended.
func (r *runner) note(id, how string) {
	r.mu.Lock()
	r.ended[id] = how
	r.mu.Unlock()
	r.rec.log("%s ends the run of %s: %s", r.id, id, how)
}

// ran returns how often requests whose IDs have a prefix ran here.
func (r *runner) ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// A watcher detects that a connection is closed while its request runs.
type watcher struct {
	conn   net.Conn
	closed chan struct{}
	done   chan struct{}
	once   sync.Once
}

func watch(conn net.Conn, reader *bufio.Reader) *watcher {
	w := &watcher{conn: conn, closed: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		if _, err := reader.Peek(1); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
			close(w.closed)
		}
	}()
	return w
}

// stop ends the watch; the connection can be read again.
func (w *watcher) stop() {
	w.once.Do(func() {
		_ = w.conn.SetReadDeadline(time.Unix(1, 0))
		<-w.done
		_ = w.conn.SetReadDeadline(time.Time{})
	})
}

// storeLoads are the adapters on their way from the weight store, over all runners.
type storeLoads struct {
	mu   sync.Mutex
	ends []time.Time
}

// begin begins a load and returns how long it takes: longer in proportion while many are on their way.
func (l *storeLoads) begin() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.ends = slices.DeleteFunc(l.ends, func(end time.Time) bool { return !now.Before(end) })
	took := time.Duration(float64(adapterLoad) * max(1, float64(len(l.ends)+1)/fullSpeed))
	l.ends = append(l.ends, now.Add(took))
	return took
}

// finishLoads makes the adapters resident whose loads have ended. The caller holds r.mu.
func (r *runner) finishLoads() {
	for name, at := range r.loading {
		if !time.Now().Before(at) {
			r.resident[name] = true
			delete(r.loading, name)
		}
	}
}

// order carries out an order and returns the response.
func (r *runner) order(body []byte) string {
	var o struct {
		Operation string  `json:"operation"`
		Model     string  `json:"model"`
		Adapter   string  `json:"adapter"`
		Version   int     `json:"version"`
		Expected  *uint64 `json:"expected"`
		Holder    string  `json:"holder"`
		Fence     uint64  `json:"fence"`
	}
	err := json.Unmarshal(body, &o)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finishLoads()
	status := http.StatusAccepted
	name := fmt.Sprintf("%s@%d", o.Adapter, max(1, o.Version))
	_, loading := r.loading[name]
	switch {
	case err != nil || o.Holder == "" || o.Fence == 0 || o.Adapter == "":
		status = http.StatusBadRequest
	case o.Expected != nil && *o.Expected != r.sequence:
		status = http.StatusConflict
	case o.Operation == "load" && (r.resident[name] || loading), o.Operation == "unload" && !r.resident[name]:
		status = http.StatusOK
	case o.Operation == "load":
		r.sequence++
		r.loading[name] = time.Now().Add(r.loads.begin())
	case o.Operation == "unload":
		r.sequence++
		delete(r.resident, name)
		status = http.StatusOK
	default:
		status = http.StatusBadRequest
	}
	r.orderCount++
	if r.onOrder != nil {
		r.onOrder(r, o.Holder, o.Fence)
	}
	r.rec.log("%s gets the order %s by %s and answers %d", r.id, body, o.Holder, status)
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), r.id)
}

// report returns the response to a question for the report.
func (r *runner) report() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.engine {
		return fmt.Sprintf("HTTP/1.1 404 Not Found\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
	}
	r.finishLoads()
	adapters, incoming := []string{}, []string{}
	for name := range r.resident {
		adapters = append(adapters, name)
	}
	for name := range r.loading {
		incoming = append(incoming, modelName+"/"+name)
	}
	data, err := json.Marshal(map[string]any{
		"stage": "both", "busy": false, "sequence": r.sequence, "born": r.born, "incoming": incoming, "queued": r.waiting, "active": r.running,
		"kv_used": 0, "kv_total": 169357, "handles": 0,
		"models": []any{map[string]any{"name": modelName, "version": 1, "adapters": adapters}},
	})
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", r.id, len(data), data)
}
