package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["taken-up"] = takenUp }

// The figures are those of the sheet of gwesa-exitdesk for four runners in place of nine.
const (
	takeupRunners  = 4
	takeupGates    = 4
	takeupRate     = 80.0 // new streams a second
	takeupBurst    = 2.0
	takeupBurstFor = 5 * time.Second
	takeupDown     = 2 * time.Second
	rowLapse       = 3600 * time.Millisecond // three heartbeats, after which the row of a crashed runner is removed
	takeupEvents   = 58
	takeupGap      = 26 * time.Millisecond // five tokens of 5.23 ms
	takeupPrompt   = 826                   // tokens, 198 of them shared
	tokensPerMs    = 38.4
	takeupSlots    = 31
	takeupAdapters = 3000
	takeupDeadline = 12 * time.Second
	takeupPause    = 2 * time.Second // without an event, after which a client gives up
	minTakenUp     = 12
)

// A prefiller reads the prompts of one runner one after the other.
type prefiller struct {
	mu   sync.Mutex
	free time.Time
}

// read waits until a prompt has been read.
func (f *prefiller) read(tokens int) {
	took := time.Duration(float64(tokens) / tokensPerMs * float64(time.Millisecond))
	f.mu.Lock()
	now := time.Now()
	if f.free.Before(now) {
		f.free = now
	}
	f.free = f.free.Add(took)
	at := f.free
	f.mu.Unlock()
	time.Sleep(time.Until(at))
}

// takenUp: streams run at four runners, one of which crashes while many callers come, and later another one. Callers whose streams break off take
// them up once at another instance, as Resumes says.
func takenUp(p *platform, trouble bool) string {
	p.configure(takeupAdapters, takeupSlots, route{name: "r1", prefix: "/live/", kind: "streaming", service: "llm", timeout: 12000, goal: 500, gap: 250, priority: 1, attempts: 2, resume: true})
	loads := &loadQueue{atOnce: 8}
	var runners []*runner
	for i := range takeupRunners {
		f := &prefiller{}
		r := &runner{id: fmt.Sprintf("i-%d", i), service: "llm", zone: "a", version: "v1", engine: true, slots: 64, events: takeupEvents, gap: takeupGap, loadTime: 250 * time.Millisecond, adapterSlots: takeupSlots, store: p.store, record: p.record, loaders: loads}
		r.onRequest = func(r *runner, q *http.Request, _ net.Conn) (handled, open bool) {
			after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
			f.read(takeupPrompt + 5*after)
			return false, true
		}
		r.start("127.0.0.1")
		runners = append(runners, r)
	}
	var gates []*gate
	for i := range takeupGates {
		g := p.newGate(fmt.Sprintf("front-a-%d", i+1), "a", "127.0.0.1", 284)
		g.start(true)
		gates = append(gates, g)
	}
	for _, g := range gates {
		if !g.awaitReady(10 * time.Second) {
			p.giveUp("an instance is not ready")
		}
	}
	time.Sleep(8 * time.Second)
	t := &takeup{platform: p, gates: gates}
	var streams sync.WaitGroup
	began := time.Now()
	zipf := rand.NewZipf(rand.New(rand.NewSource(time.Now().UnixNano())), 1.2, 1, takeupAdapters-1)
	bursts := []time.Duration{12 * time.Second, 28 * time.Second}
	if trouble {
		for n, after := range bursts {
			go func() {
				time.Sleep(after + 3*time.Second)
				t.crash(runners[n])
			}()
		}
	}
	for at := time.Duration(0); at < 46*time.Second; {
		rate := takeupRate
		for _, from := range bursts {
			if trouble && at >= from && at < from+takeupBurstFor {
				rate = takeupRate * takeupBurst
			}
		}
		model := "m0"
		if rand.Float64() < 0.95 {
			model = fmt.Sprintf("m0/a%d", 1+zipf.Uint64())
		}
		streams.Go(func() { t.play(model) })
		at += time.Duration(rand.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(time.Until(began.Add(at)))
	}
	streams.Wait()
	p.record.add("sum", "new", t.fresh.Load(), "began", t.begun.Load(), "taken_up", t.resumed.Load(), "went_on", t.wentOn.Load(), "complete", t.complete.Load())
	resumed, wentOn := float64(t.resumed.Load()), float64(t.wentOn.Load())
	share := float64(t.begun.Load()) / float64(max(1, t.fresh.Load()))
	if resumed >= minTakenUp && wentOn/resumed < share/2 {
		return fmt.Sprintf("of %.0f streams that clients took up again, %.0f went on; of %d new ones %d began", resumed, wentOn, t.fresh.Load(), t.begun.Load())
	}
	return ""
}

// A takeup is the clients of the case.
type takeup struct {
	platform *platform
	gates    []*gate
	next     atomic.Int64

	fresh, begun, resumed, wentOn, complete atomic.Int64
}

// crash lets a runner crash and start again, empty and under another ID. Its row lapses.
func (t *takeup) crash(r *runner) {
	old := r.id
	t.platform.record.add("trouble", "kind", "a runner crashes", "runner", old)
	r.crash()
	time.Sleep(takeupDown)
	r.restart(old + "b")
	t.platform.record.add("trouble", "kind", "it is back", "runner", r.id)
	time.Sleep(rowLapse - takeupDown)
	t.platform.store.remove("servers", old)
}

// play sends a request for a stream, and tries once more as the protocol says.
func (t *takeup) play(model string) {
	first := rand.Intn(len(t.gates))
	end := time.Now().Add(takeupDeadline)
	id, last, done, retry := t.attempt(t.gates[first], model, "", 0, end)
	t.fresh.Add(1)
	if last > 0 {
		t.begun.Add(1)
	}
	switch {
	case done:
		t.complete.Add(1)
		return
	case retry < 0:
		return // it gave up
	}
	other := t.gates[(first+1+rand.Intn(len(t.gates)-1))%len(t.gates)]
	time.Sleep(min(retry, time.Until(end)/3))
	resumes := ""
	if last > 0 {
		resumes = id
		t.resumed.Add(1)
	}
	_, now, done, _ := t.attempt(other, model, resumes, last, end)
	if last > 0 && now > last {
		t.wentOn.Add(1)
	}
	if done {
		t.complete.Add(1)
	}
}

// attempt sends one attempt. It returns its ID, the last event received, whether the stream is complete, and after which
// time the client may try again; negative if it has given up.
func (t *takeup) attempt(g *gate, model, resumes string, after int, end time.Time) (id string, last int, done bool, retry time.Duration) {
	id, last = fmt.Sprintf("%016x", t.next.Add(1)), after
	record := t.platform.record
	c, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		record.add("answered", "request", id, "err", err)
		return id, last, false, 0
	}
	defer func() { _ = c.Close() }()
	head := fmt.Sprintf(wire("POST /live/x HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nModel: %s\r\n{tokens}: %d,290\r\n{prompt}: a1:119,b2:79,%s:628\r\n"), id, time.Until(end).Milliseconds(), model, takeupPrompt, id)
	if resumes != "" {
		head += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", after, resumes)
	}
	record.add("sent", "request", id, "instance", g.name, "model", model, "resumes", resumes, "after", after)
	fmt.Fprint(c, head+"Content-Length: 2\r\n\r\n{}")
	_ = c.SetReadDeadline(time.Now().Add(takeupPause))
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: "POST"})
	if err != nil {
		record.add("answered", "request", id, "err", err)
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return id, last, false, -1
		}
		return id, last, false, 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		record.add("answered", "request", id, "status", response.StatusCode, "retry", seconds)
		return id, last, false, time.Duration(seconds * float64(time.Second))
	}
	body := bufio.NewReader(response.Body)
	for {
		_ = c.SetReadDeadline(time.Now().Add(takeupPause))
		line, err := body.ReadString('\n')
		if n, ok := strings.CutPrefix(line, "id: "); ok && err == nil {
			last, _ = strconv.Atoi(strings.TrimSpace(n))
		}
		if err != nil {
			done = last == takeupEvents && err.Error() == "EOF"
			record.add("answered", "request", id, "status", 200, "last", last, "complete", done, "err", err)
			if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
				return id, last, done, -1
			}
			return id, last, done, 0
		}
	}
}
