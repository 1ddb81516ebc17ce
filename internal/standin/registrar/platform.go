package registrar

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/platform/lister"
	"github.com/sardinetiller/sardinetiller/internal/platform/storer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/wire/encoder"
	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
)

// A Platform is a stand-in for the platform. Its fields are set before Run.
type Platform struct {
	Listener net.Listener
	Lag      time.Duration // delay of the instance list
	Rate     float64       // weight loads per second without slowdown
	Together int           // concurrent weight loads without slowdown

	Table tabler.Memory
	Store storer.Memory

	mu          sync.Mutex
	announced   map[string]*announcement // by incarnation
	counters    Counters
	faults      Faults
	activeLoads int
}

// An announcement is the last announcement of an instance with the times that the
// delayed list depends on.
type announcement struct {
	lister.Announcement

	endedAt      time.Time // when its process was first found to have terminated
	firstAt      time.Time
	leavingSince time.Time // when it first announced that it drains
}

// Paths of the stand-in besides those of the platform.
const (
	PathBooks   = "/books"
	PathControl = "/control"
	// PathWeights is the path prefix of the weight store; the adapter version follows.
	PathWeights = "/weights/"
)

// Counters returns the counters of the calls so far.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// Run serves until ctx is cancelled.
func (p *Platform) Run(ctx context.Context) error {
	r := router.New()
	r.POST(tabler.PathCommit, p.withFaults(p.commit))
	r.POST(tabler.PathGet, p.withFaults(p.get))
	r.POST(tabler.PathScan, p.withFaults(p.scan))
	r.POST(lister.PathAnnounce, p.withFaults(p.announce))
	r.POST(lister.PathList, p.withFaults(p.list))
	r.GET(storer.PathObject+"{key:*}", p.withFaults(p.object))
	r.PUT(storer.PathObject+"{key:*}", p.withFaults(p.putObject))
	r.GET(PathWeights+"{adapter}", p.weights)
	r.GET(PathBooks, func(c *fasthttp.RequestCtx) { listener.WriteJSON(c, fasthttp.StatusOK, p.Counters()) })
	r.POST(PathControl, p.control)
	server := listener.Server{Listener: p.Listener, Handler: r.Handler}
	return server.Run(ctx)
}

// Set replaces the faults to inject.
func (p *Platform) Set(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

func (p *Platform) announce(c *fasthttp.RequestCtx) {
	var received lister.Announcement
	if !decode(c, &received) {
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.announced == nil {
		p.announced = make(map[string]*announcement)
	}
	a, ok := p.announced[received.Instance.Incarnation]
	if !ok {
		a = &announcement{firstAt: now}
		p.announced[received.Instance.Incarnation] = a
	}
	a.Announcement = received
	if received.Instance.Leaving && a.leavingSince.IsZero() {
		a.leavingSince = now
	}
}

func (p *Platform) commit(c *fasthttp.RequestCtx) {
	var txn tabler.Txn
	if !decode(c, &txn) {
		return
	}
	err := p.Table.Commit(c, txn)
	var conflict *tabler.ConflictError
	if errors.As(err, &conflict) {
		c.Error(conflict.Key, fasthttp.StatusConflict)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Commits++
	p.counters.Rows += len(txn.Puts) + len(txn.Deletes)
	if p.faults.Lose > 0 {
		p.faults.Lose--
		p.counters.LostResponses++
		_ = c.Conn().Close() // the write is committed, but its response is lost
	}
}

func (p *Platform) control(c *fasthttp.RequestCtx) {
	var f Faults
	if !listener.DecodeJSON(c, &f) {
		return
	}
	p.Set(f)
}

func (p *Platform) get(c *fasthttp.RequestCtx) {
	var key string
	if !decode(c, &key) {
		return
	}
	row, _ := p.Table.Get(c, key) // Memory never fails
	p.respond(c, row)
}

// withFaults wraps a handler: it injects the faults and counts the bytes.
func (p *Platform) withFaults(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		time.Sleep(f.Slow)
		if f.Down {
			c.Error("down", fasthttp.StatusServiceUnavailable)
			return
		}
		next(c)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.counters.Bytes += int64(len(c.PostBody()) + len(c.Response.Body()))
	}
}

// list returns the instance list as of Lag ago.
func (p *Platform) list(c *fasthttp.RequestCtx) {
	now := time.Now()
	p.mu.Lock()
	listed := []heartbeater.Instance{}
	for _, a := range p.announced {
		if a.endedAt.IsZero() && a.terminated() {
			a.endedAt = now
		}
		unlisted := !a.endedAt.IsZero() && now.Sub(a.endedAt) >= p.Lag
		if unlisted || now.Sub(a.firstAt) < p.Lag {
			continue
		}
		i := a.Instance
		i.Leaving = !a.leavingSince.IsZero() && now.Sub(a.leavingSince) >= p.Lag
		listed = append(listed, i)
	}
	p.mu.Unlock()
	p.respond(c, listed)
}

// terminated reports whether the instance's process has terminated. The agent of the
// real platform runs on the same machine and can detect it; a paused process still
// exists.
func (a *announcement) terminated() bool {
	return a.Stopped || errors.Is(syscall.Kill(a.Process, 0), syscall.ESRCH)
}

func (p *Platform) object(c *fasthttp.RequestCtx) {
	data, err := p.Store.Get(c, c.UserValue("key").(string))
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusNotFound)
		return
	}
	c.SetBody(data)
}

func (p *Platform) putObject(c *fasthttp.RequestCtx) {
	_ = p.Store.Put(c, c.UserValue("key").(string), c.PostBody()) // Memory never fails
}

func (p *Platform) respond(c *fasthttp.RequestCtx, value any) {
	p.mu.Lock()
	p.counters.Reads++
	p.mu.Unlock()
	data, err := encoder.Marshal(value)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetBody(data)
}

func (p *Platform) scan(c *fasthttp.RequestCtx) {
	var prefix string
	if !decode(c, &prefix) {
		return
	}
	rows, _ := p.Table.Scan(c, prefix) // Memory never fails
	p.respond(c, rows)
}

// weights serves one weight load. More than Together concurrent loads slow each
// other down, with some loss of total throughput.
func (p *Platform) weights(c *fasthttp.RequestCtx) {
	p.mu.Lock()
	p.activeLoads++
	p.counters.Loads++
	p.counters.MaxConcurrentLoads = max(p.counters.MaxConcurrentLoads, p.activeLoads)
	duration := p.loadTime()
	down := p.faults.Down
	p.mu.Unlock()
	if !down {
		time.Sleep(duration)
	}
	p.mu.Lock()
	p.activeLoads--
	p.mu.Unlock()
	if down {
		c.Error("down", fasthttp.StatusServiceUnavailable)
	}
}

// contentionFactor is the additional slowdown of a load that begins while more than
// Together are active, itself included.
const contentionFactor = 1.15

func (p *Platform) loadTime() time.Duration {
	if p.Rate <= 0 {
		return 0
	}
	seconds := float64(p.Together) / p.Rate
	loadRatio := float64(p.activeLoads) / float64(p.Together)
	if loadRatio > 1 {
		seconds *= loadRatio * contentionFactor
	}
	return time.Duration(seconds * float64(time.Second))
}

func decode(c *fasthttp.RequestCtx, into any) bool {
	if err := encoder.Unmarshal(c.PostBody(), into); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}
