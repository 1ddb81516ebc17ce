package server

import (
	"bytes"
	"crypto/subtle"
	"runtime"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/request/dispatcher"
	"github.com/sardinetiller/sardinetiller/internal/upstream/monitor"
	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
)

// The paths of the operator API.
const (
	PathDrain   = "/drain"
	PathExplain = "/explain/"
	PathLive    = "/live"
	PathMetrics = "/metrics"
	PathPreload = "/preload/"
	PathReady   = "/ready"
	PathStatus  = "/status"
)

// A Status describes an instance and its failure domain.
type Status struct {
	Instance    string                 `json:"instance" yaml:"instance"`
	Incarnation string                 `json:"incarnation" yaml:"incarnation"`
	Domain      string                 `json:"domain" yaml:"domain"`
	Ready       bool                   `json:"ready" yaml:"ready"`
	Leaving     bool                   `json:"leaving" yaml:"leaving"`
	Lease       bool                   `json:"lease" yaml:"lease"` // whether the lease is valid now
	Epoch       uint64                 `json:"epoch" yaml:"epoch"`
	Revision    uint64                 `json:"revision" yaml:"revision"`
	Since       time.Time              `json:"since" yaml:"since"`     // when the revision took effect here
	Outage      bool                   `json:"outage" yaml:"outage"`   // the table service does not answer
	Blocked     int                    `json:"blocked" yaml:"blocked"` // slots reserved for a previous owner
	Sent        int64                  `json:"sent" yaml:"sent"`       // bytes to peers so far
	Memory      uint64                 `json:"memory" yaml:"memory"`   // bytes of heap in use
	Peers       []PeerStatus           `json:"peers" yaml:"peers"`
	Runners     []monitor.RunnerStatus `json:"runners" yaml:"runners"`
	Quarantine  []QuarantineStatus     `json:"quarantine" yaml:"quarantine"` // quarantined requests
}

// A QuarantineStatus describes a request that is quarantined because engines that ran it crashed.
type QuarantineStatus struct {
	Digest  string    `json:"digest" yaml:"digest"`
	Crashes int       `json:"crashes" yaml:"crashes"`
	Until   time.Time `json:"until" yaml:"until"` // end of the quarantine
}

// A PeerStatus describes another instance as this one sees it.
type PeerStatus struct {
	Instance    string `json:"instance" yaml:"instance"`
	Incarnation string `json:"incarnation" yaml:"incarnation"`
	Domain      string `json:"domain" yaml:"domain"`
	Health      string `json:"health" yaml:"health"`
	Epoch       uint64 `json:"epoch" yaml:"epoch"`
	Revision    uint64 `json:"revision" yaml:"revision"`
}

// An Explanation lists the routing steps of one request.
type Explanation struct {
	Request string            `json:"request" yaml:"request"`
	Steps   []dispatcher.Step `json:"steps" yaml:"steps"`
}

// operatorHandler returns the handler of the operator API.
func (s *Server) operatorHandler() fasthttp.RequestHandler {
	r := router.New()
	r.GET(PathLive, func(c *fasthttp.RequestCtx) { c.SetBodyString("live\n") })
	r.GET(PathReady, s.ready)
	r.GET(PathMetrics, s.metrics)
	r.GET(PathStatus, s.requireOperator(func(c *fasthttp.RequestCtx) { listener.WriteJSON(c, fasthttp.StatusOK, s.Status()) }))
	r.GET(PathExplain+"{id}", s.requireOperator(s.explain))
	r.POST(PathPreload+"{adapter}", s.requireOperator(s.preload))
	r.POST(PathDrain, s.requireOperator(func(*fasthttp.RequestCtx) { s.Drain() }))
	return r.Handler
}

// Ready reports whether the load balancer should send requests here, and the reason.
func (s *Server) Ready() (bool, string) {
	switch {
	case s.stop.leaving():
		return false, "leaving"
	case s.Watcher.Active() == nil:
		return false, "no settings are in force here yet"
	default:
		return true, "ready"
	}
}

// Status returns the status of this instance and its failure domain.
func (s *Server) Status() Status {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	ready, _ := s.Ready()
	blocked, _ := s.Driver.Blocked()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{
		Instance: s.Config.ID, Incarnation: s.Incarnation, Domain: s.Config.Domain, Ready: ready,
		Leaving: s.stop.leaving(), Lease: s.Holder.Valid(now), Epoch: s.Holder.Epoch(),
		Outage: s.tableFailedAt.Load() != 0, Blocked: blocked, Sent: s.Mesh.Bytes(), Memory: memory.HeapInuse,
		Runners: s.Fleet.Statuses(), Peers: []PeerStatus{}, Quarantine: s.quarantine.quarantined(now),
	}
	if active := s.Watcher.Active(); active != nil {
		status.Revision = active.Head.Revision
		status.Since = active.Since
	}
	for _, i := range s.Monitor.Instances(now) {
		if i.Incarnation == s.Incarnation {
			continue
		}
		beat := s.peerHeartbeats[i.Incarnation]
		status.Peers = append(status.Peers, PeerStatus{
			Instance: i.ID, Incarnation: i.Incarnation, Domain: i.Domain, Epoch: beat.Epoch, Revision: beat.Revision,
			Health: string(s.Monitor.Health(i.Incarnation, now)),
		})
	}
	return status
}

func (s *Server) explain(c *fasthttp.RequestCtx) {
	id, _ := c.UserValue("id").(string)
	steps, ok := s.Dispatcher.Explain(id)
	if !ok {
		c.Error("no such request here; ask the instance that the caller reached", fasthttp.StatusNotFound)
		return
	}
	listener.WriteJSON(c, fasthttp.StatusOK, Explanation{Request: id, Steps: steps})
}

// requireOperator rejects requests without the operator token.
func (s *Server) requireOperator(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		want := "Bearer " + s.Token()
		given := c.Request.Header.Peek(fasthttp.HeaderAuthorization)
		if s.Token() != "" && subtle.ConstantTimeCompare(given, []byte(want)) != 1 {
			c.Error("wrong operators' key", fasthttp.StatusUnauthorized)
			return
		}
		next(c)
	}
}

func (s *Server) metrics(c *fasthttp.RequestCtx) {
	var b bytes.Buffer
	s.Metrics.WritePrometheus(&b)
	c.SetContentType("text/plain; charset=utf-8")
	c.SetBody(b.Bytes())
}

func (s *Server) ready(c *fasthttp.RequestCtx) {
	ready, reason := s.Ready()
	if !ready {
		c.Error(reason, fasthttp.StatusServiceUnavailable)
		return
	}
	c.SetBodyString(reason + "\n")
}
