package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// A runner is a stand-in for a runner. Its exported fields are set before start.
type runner struct {
	id, service, zone, version string
	engine                     bool // it has models and adapters
	slots                      int
	events                     int           // of a stream
	gap                        time.Duration // between two events
	work                       time.Duration // of a plain request
	loadTime                   time.Duration // of an adapter
	adapterSlots               int
	store                      *store
	record                     *record

	address string
	born    int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	resident map[string]bool // MODEL/NAME@VERSION
	incoming map[string]time.Time
	loaders  *loadQueue
	sequence uint64
	state    string
	stopBeat chan struct{}
	running  atomic.Int64
	runs     atomic.Int64

	onArrival func(id string) // called when the head of a request has arrived; nil for none
	slow      atomic.Bool     // it reads bodies slowly

	// onRequest may handle a request in place of the default; it reports whether it has. Nil for none.
	onRequest func(r *runner, request *http.Request, c net.Conn) (handled, open bool)
}

// A loadQueue is the weight store: adapters that are on their way take longer in proportion beyond a number.
type loadQueue struct {
	mu     sync.Mutex
	atOnce int
	active int
}

func (r *runner) start(ip string) {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	r.address = l.Addr().String()
	r.listener = l
	r.up(l)
}

func (r *runner) up(l net.Listener) {
	r.mu.Lock()
	r.listener = l
	r.born = time.Now().UnixMilli()
	r.conns = make(map[net.Conn]bool)
	r.resident = make(map[string]bool)
	r.incoming = make(map[string]time.Time)
	r.sequence = 0
	r.state = "ready"
	stop := make(chan struct{})
	r.stopBeat = stop
	r.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
			go r.serve(c)
		}
	}()
	go func() {
		for {
			r.beat()
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
		}
	}()
}

// beat writes the row of the runner.
func (r *runner) beat() {
	r.mu.Lock()
	value := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": r.state,
		wire("{cold}"): 0, "sequence": r.sequence, "born": r.born,
	}
	if r.engine {
		value["stage"], value["models"] = "both", r.models()
	}
	r.mu.Unlock()
	r.store.put("servers", r.id, value)
}

// models returns what the runner holds. The caller holds mu.
func (r *runner) models() []map[string]any {
	r.finishLoads()
	adapters := []string{}
	for name := range r.resident {
		adapters = append(adapters, strings.TrimPrefix(name, "m0/"))
	}
	return []map[string]any{{"name": "m0", "version": 1, "adapters": adapters}}
}

func (r *runner) finishLoads() {
	for name, at := range r.incoming {
		if time.Now().After(at) {
			r.resident[name] = true
			delete(r.incoming, name)
		}
	}
}

// crash resets all connections and stops listening. Its row stays until it lapses.
func (r *runner) crash() {
	r.mu.Lock()
	close(r.stopBeat)
	_ = r.listener.Close()
	conns := r.conns
	r.conns = make(map[net.Conn]bool)
	r.mu.Unlock()
	for c := range conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// restart brings a crashed runner back at its address, empty and under another id.
func (r *runner) restart(id string) {
	l, err := net.Listen("tcp", r.address)
	for end := time.Now().Add(5 * time.Second); err != nil && time.Now().Before(end); l, err = net.Listen("tcp", r.address) {
		time.Sleep(20 * time.Millisecond) // a connection may use the port for a moment
	}
	check(err)
	r.id = id
	r.up(l)
}

func (r *runner) serve(c net.Conn) {
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if id := request.Header.Get("Request-Id"); id != "" {
			r.record.add("arrived", "request", id, "runner", r.id, "bytes", request.ContentLength)
			if r.onArrival != nil {
				r.onArrival(id)
			}
		}
		var body []byte
		if request.URL.Path == "/order" {
			body, err = io.ReadAll(request.Body)
		} else {
			err = r.readBody(request.Body)
		}
		if err != nil || !r.handle(request, body, c) {
			return
		}
	}
}

// readBody reads and drops the body of a request.
func (r *runner) readBody(body io.Reader) error {
	part := make([]byte, 16<<10)
	for {
		if _, err := body.Read(part); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		if r.slow.Load() {
			time.Sleep(slowPause)
		}
	}
}

// slowPause is the pause of a runner that reads slowly after each part.
const slowPause = 40 * time.Millisecond

func (r *runner) handle(request *http.Request, body []byte, c net.Conn) (open bool) {
	expected := request.Header.Get(wire("{expected}"))
	id := request.Header.Get("Request-Id")
	if expected != "" && expected != r.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.id)
		return true
	}
	switch request.URL.Path {
	case "/order":
		return r.order(body, c)
	case "/report":
		return r.report(c)
	}
	if id == "" {
		fmt.Fprint(c, wire("HTTP/1.1 400 Bad Request\r\n{unrun}: 1\r\nContent-Length: 0\r\n\r\n"))
		return true
	}
	if _, adapter, named := strings.Cut(request.Header.Get("Model"), "/"); r.engine && named {
		version := request.Header.Get(wire("{adapter}"))
		if version == "" {
			version = "1"
		}
		r.mu.Lock()
		r.finishLoads()
		held := r.resident["m0/"+adapter+"@"+version]
		r.mu.Unlock()
		if !held {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.id)
			return true
		}
	}
	r.record.add("run", "request", id, "runner", r.id, "path", request.URL.Path, "after", request.Header.Get("Last-Event-Id"), "model", request.Header.Get("Model"))
	r.runs.Add(1)
	r.running.Add(1)
	defer r.running.Add(-1)
	if r.onRequest != nil {
		if handled, open := r.onRequest(r, request, c); handled {
			return open
		}
	}
	if r.engine {
		return r.stream(request, c, id)
	}
	time.Sleep(r.work)
	_, err := fmt.Fprintf(c, wire("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n{stamp}: s-%s-%s\r\n{load}: %d,0,%d\r\nContent-Length: 800\r\n\r\n%s"), id, r.id, id, r.running.Load(), r.slots, strings.Repeat("x", 800))
	return err == nil
}

// stream answers with the events after Last-Event-Id.
func (r *runner) stream(request *http.Request, c net.Conn, id string) (open bool) {
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	if after == 0 {
		time.Sleep(r.gap)
	}
	if _, err := fmt.Fprintf(c, wire("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n{stamp}: s-%s-%s\r\n{load}: %d,0,%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"), id, r.id, id, r.running.Load(), r.slots); err != nil {
		return false
	}
	for n := after + 1; n <= r.events; n++ {
		event := fmt.Sprintf("id: %d\ndata: token %d of %d at %s %s\n\n", n, n, r.events, r.version, strings.Repeat("t", 20))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(r.gap)
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil
}

func (r *runner) report(c net.Conn) bool {
	r.mu.Lock()
	value := map[string]any{"stage": "both", "busy": false, "sequence": r.sequence, "queued": 0, "active": r.running.Load(), "kv_used": 0, "kv_total": 90000, "handles": 0, "born": r.born}
	if r.engine {
		value["models"] = r.models()
		incoming := []string{}
		for name := range r.incoming {
			incoming = append(incoming, name)
		}
		value["incoming"] = incoming
	}
	r.mu.Unlock()
	return writeJSON(c, 200, value)
}

func (r *runner) order(body []byte, c net.Conn) bool {
	var o struct {
		Operation, Model, Adapter, Holder string
		Version                           int
		Expected                          *uint64
		Fence                             uint64
	}
	if unmarshal(body, &o) != nil || o.Holder == "" {
		return writeJSON(c, 400, nil)
	}
	r.mu.Lock()
	status, grown := 202, false
	name := fmt.Sprintf("%s/%s@%d", o.Model, o.Adapter, max(1, o.Version))
	r.finishLoads()
	_, loading := r.incoming[name]
	switch {
	case o.Expected != nil && *o.Expected != r.sequence:
		status = 409
	case o.Adapter == "":
		status = 200
	case o.Operation == "load" && (r.resident[name] || loading):
		status = 200
	case o.Operation == "load":
		if len(r.resident)+len(r.incoming) >= r.adapterSlots {
			r.record.add("overfull", "runner", r.id, "order", name)
		}
		r.incoming[name] = time.Now().Add(r.loaders.take(r.loadTime))
		grown = true
	default:
		delete(r.resident, name)
		status, grown = 200, true
	}
	if grown {
		r.sequence++
	}
	r.mu.Unlock()
	r.record.add("order", "runner", r.id, "operation", o.Operation, "copy", name, "holder", o.Holder, "fence", o.Fence, "status", status)
	return writeJSON(c, status, nil)
}

// take returns how long a load takes that begins now.
func (q *loadQueue) take(usual time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.active++
	took := usual
	if q.active > q.atOnce {
		took = usual * time.Duration(q.active) / time.Duration(q.atOnce)
	}
	time.AfterFunc(took, func() {
		q.mu.Lock()
		q.active--
		q.mu.Unlock()
	})
	return took
}
