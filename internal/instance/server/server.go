package server

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fasthttp/router"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/sardinetiller/sardinetiller/internal/adapter/loader"
	"github.com/sardinetiller/sardinetiller/internal/clock/repeater"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/leaser"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/platform/lister"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/answerer"
	"github.com/sardinetiller/sardinetiller/internal/request/claimer"
	"github.com/sardinetiller/sardinetiller/internal/request/dispatcher"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
	"github.com/sardinetiller/sardinetiller/internal/setting/resolver"
	"github.com/sardinetiller/sardinetiller/internal/setting/watcher"
	"github.com/sardinetiller/sardinetiller/internal/upstream/driver"
	"github.com/sardinetiller/sardinetiller/internal/upstream/monitor"
	"github.com/sardinetiller/sardinetiller/internal/wire/listener"
)

// A Server is one instance. The composer package sets its fields before Run.
type Server struct {
	Answerer    *answerer.Answerer
	Claimer     *claimer.Claimer
	Config      configurer.Daemon
	Dispatcher  *dispatcher.Dispatcher
	Driver      *driver.Driver
	Fleet       *monitor.Fleet
	Holder      *leaser.Holder // guarded by mu
	Incarnation string
	Lister      lister.Lister
	Listeners   Listeners
	Logger      log.Logger
	Mesh        *relayer.Mesh
	Metrics     *metrics.Set
	Monitor     *heartbeater.Monitor // guarded by mu
	Sharer      *loader.Sharer       // guarded by mu
	Table       tabler.Table
	TLS         *tls.Config   // for incoming links from peers; nil for none
	Token       func() string // operator token; empty for none
	Watcher     *watcher.Watcher

	declaredRevision    atomic.Uint64 // revision whose upstreams are declared to the fleet
	drains              map[string]bool
	leases              map[string]tabler.Row // by incarnation, as last scanned; guarded by mu
	linkStates          map[string]linkState  // by address
	unresponsiveChecked time.Time             // last check for unresponsive peers; used by the heartbeat loop only
	mu                  sync.Mutex
	tableFailedAt       atomic.Int64    // Unix nanoseconds of the last failed call to the table service; 0 after a successful one
	permits             permitAllocator // guarded by mu
	peerHeartbeats      map[string]relayer.Beat
	pollNow             chan struct{}
	quarantine          quarantine
	rosterRow           tabler.Row // as last scanned; guarded by mu
	stop                stopState
}

// Listeners are the listening sockets of an instance.
type Listeners struct {
	Caller   net.Listener
	Operator net.Listener
	Peer     net.Listener
}

// driveInterval is how often the runners are updated.
const driveInterval = 200 * time.Millisecond

// Run serves until ctx ends, then stops gracefully: requests that end within the
// drain time are not interrupted.
func (s *Server) Run(ctx context.Context) error {
	s.pollNow = make(chan struct{}, 1)
	s.linkStates = make(map[string]linkState)
	s.leases = make(map[string]tabler.Row)
	s.peerHeartbeats = make(map[string]relayer.Beat)
	s.registerGauges()
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){s.pollLoop, s.listLoop, s.heartbeatLoop, s.driveLoop, s.Claimer.Run} {
		loops.Go(func() { loop(work) })
	}
	failed := s.listen(work, &loops)
	_ = level.Info(s.Logger).Log("msg", "started", "caller", s.Listeners.Caller.Addr(), "peer", s.Listeners.Peer.Addr(),
		"operator", s.Listeners.Operator.Addr(), "domain", s.Config.Domain, "incarnation", s.Incarnation)
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		s.stopGracefully(work)
	}
	cancel()
	loops.Wait()
	s.announceStop()
	_ = level.Info(s.Logger).Log("msg", "stopped")
	return err
}

// announceStopTimeout bounds the announcement to the platform that the instance has
// stopped. If it fails, the platform removes the instance once it notices that the
// process has ended.
const announceStopTimeout = time.Second

func (s *Server) announceStop() {
	ctx, cancel := context.WithTimeout(context.Background(), announceStopTimeout)
	defer cancel()
	if err := s.announce(ctx, true); err != nil {
		s.countReason("sardinetiller_platform_failures_total", "list")
	}
}

// listen serves the caller, peer and operator sockets until ctx ends.
func (s *Server) listen(ctx context.Context, loops *sync.WaitGroup) <-chan error {
	peers := router.New()
	peers.GET(relayer.Path, s.Mesh.Serve)
	peerListener := s.Listeners.Peer
	if s.TLS != nil {
		peerListener = tls.NewListener(peerListener, s.TLS)
	}
	failed := make(chan error, 3)
	for _, server := range []*listener.Server{
		{Handler: s.Answerer.Handler(), Listener: s.Listeners.Caller, HandleError: s.Answerer.HandleMalformed},
		{Handler: peers.Handler, Listener: peerListener},
		{Handler: s.operatorHandler(), Listener: s.Listeners.Operator},
	} {
		loops.Go(func() {
			if err := server.Run(ctx); err != nil {
				failed <- err
			}
		})
	}
	return failed
}

// Self describes this instance to its peers.
func (s *Server) Self() heartbeater.Instance {
	address := s.Config.Advertise
	if address == "" {
		address = s.Listeners.Peer.Addr().String()
	}
	return heartbeater.Instance{
		ID: s.Config.ID, Incarnation: s.Incarnation, Domain: s.Config.Domain, Address: address, Leaving: s.stop.leaving(),
	}
}

// Settings returns the settings in force, or nil.
func (s *Server) Settings() *resolver.Resolver {
	if active := s.Watcher.Active(); active != nil {
		return active.Resolver
	}
	return nil
}

func (s *Server) driveLoop(ctx context.Context) {
	repeater.EveryNow(ctx, driveInterval, nil, func() {
		now := time.Now()
		s.updateShare(now)
		s.grantFreedPermits()
		s.Driver.Tick(ctx, now)
	})
}
