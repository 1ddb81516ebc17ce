// Package composer constructs an instance. It is the only package in which the
// components of an instance are wired together.
package composer

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"go.uber.org/dig"

	"github.com/sardinetiller/sardinetiller/internal/adapter/keeper"
	"github.com/sardinetiller/sardinetiller/internal/adapter/loader"
	"github.com/sardinetiller/sardinetiller/internal/instance/assembler"
	"github.com/sardinetiller/sardinetiller/internal/instance/server"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/leaser"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/platform/lister"
	"github.com/sardinetiller/sardinetiller/internal/platform/storer"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
	"github.com/sardinetiller/sardinetiller/internal/request/answerer"
	"github.com/sardinetiller/sardinetiller/internal/request/claimer"
	"github.com/sardinetiller/sardinetiller/internal/request/dispatcher"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
	"github.com/sardinetiller/sardinetiller/internal/setting/watcher"
	"github.com/sardinetiller/sardinetiller/internal/upstream/caller"
	"github.com/sardinetiller/sardinetiller/internal/upstream/driver"
	"github.com/sardinetiller/sardinetiller/internal/upstream/monitor"
)

// Options are the inputs from which an instance is constructed.
type Options struct {
	Config    configurer.Daemon
	Keys      Keys
	Listeners server.Listeners
	Logger    log.Logger
	LRU       bool // evict by last use instead of by heat; a baseline for comparison
}

// Keys are the secrets of an instance. They may change while it runs.
type Keys struct {
	Secret        func() string // shared by the instances
	OperatorToken func() string // operator token; empty for none
	PeerClientTLS *tls.Config   // for outgoing links to peers; nil for none
	PeerServerTLS *tls.Config   // for incoming links from peers; nil for none
}

// Limits that are not settings of a daemon.
const (
	platformTimeout  = 2 * time.Second
	orderTimeout     = 30 * time.Second
	missedHeartbeats = 4 // heartbeats missed before an instance is suspect
)

// incarnation identifies one run of an instance.
type incarnation string

// Compose returns an instance that is ready to run.
func Compose(options Options) (*server.Server, error) {
	return assembler.Assemble[*server.Server](
		setDependencies,
		func() Options { return options },
		func() *server.Server { return &server.Server{} },
		newIncarnation, newTable, newStore, newLister, newMetrics, newMonitor, newHolder,
		newMesh, newSharer, newWatcher, newFleet, newDriver, newDispatcher, newClaimer, newAnswerer,
	)
}

// dependencies are the values that a server is constructed from.
type dependencies struct {
	dig.In

	Answerer    *answerer.Answerer
	Claimer     *claimer.Claimer
	Dispatcher  *dispatcher.Dispatcher
	Driver      *driver.Driver
	Fleet       *monitor.Fleet
	Holder      *leaser.Holder
	Incarnation incarnation
	Lister      lister.Lister
	Mesh        *relayer.Mesh
	Metrics     *metrics.Set
	Monitor     *heartbeater.Monitor
	Options     Options
	Server      *server.Server
	Sharer      *loader.Sharer
	Table       tabler.Table
	Watcher     *watcher.Watcher
}

// setDependencies sets the fields of the server, to which several of its dependencies refer back.
func setDependencies(d dependencies) {
	s := d.Server
	s.Answerer = d.Answerer
	s.Claimer = d.Claimer
	s.Config = d.Options.Config
	s.Dispatcher = d.Dispatcher
	s.Driver = d.Driver
	s.Fleet = d.Fleet
	s.Holder = d.Holder
	s.Incarnation = string(d.Incarnation)
	s.Lister = d.Lister
	s.Listeners = d.Options.Listeners
	s.Logger = d.Options.Logger
	s.Mesh = d.Mesh
	s.Metrics = d.Metrics
	s.Monitor = d.Monitor
	s.Sharer = d.Sharer
	s.Table = d.Table
	s.TLS = d.Options.Keys.PeerServerTLS
	s.Token = d.Options.Keys.OperatorToken
	s.Watcher = d.Watcher
}

func newAnswerer(p Options, s *server.Server, c *claimer.Claimer, d *dispatcher.Dispatcher, m *metrics.Set) *answerer.Answerer {
	return &answerer.Answerer{
		Claimer: c, Dispatcher: d, Domain: p.Config.Domain, Settings: s.Settings, Logger: p.Logger,
		Metrics: m, Stopping: s.Stopping, Token: token,
	}
}

func newClaimer(i incarnation, s *server.Server, store storer.Store, table tabler.Table) *claimer.Claimer {
	return &claimer.Claimer{Gone: s.Gone, Commit: s.CommitBatched, Self: string(i), Store: store, Table: table, Token: token}
}

func newDispatcher(p Options, i incarnation, s *server.Server, d *driver.Driver, f *monitor.Fleet, m *metrics.Set) *dispatcher.Dispatcher {
	return &dispatcher.Dispatcher{
		Domain: p.Config.Domain, Drained: s.Drained, Fleet: f, Settings: s.Settings, Local: d,
		Metrics: m, Peers: s, Quarantine: s, Self: string(i),
	}
}

func newDriver(p Options, i incarnation, s *server.Server, f *monitor.Fleet, m *metrics.Set) *driver.Driver {
	evictor := func() keeper.Evictor { return keeper.Heat{Copies: f.Copies} }
	if p.LRU {
		evictor = func() keeper.Evictor { return keeper.LRU{} }
	}
	return &driver.Driver{
		Domain: p.Config.Domain, Engine: &caller.Client{Timeout: orderTimeout}, Evictor: evictor,
		Logger: p.Logger, Metrics: m, Permits: s, Quarantine: s, Self: string(i), Ownership: s,
	}
}

func newFleet(p Options) *monitor.Fleet { return &monitor.Fleet{Domain: p.Config.Domain} }

func newHolder(p Options, i incarnation) *leaser.Holder {
	return &leaser.Holder{Self: leaser.Member{ID: p.Config.ID, Incarnation: string(i)}, LeaseDuration: p.Config.Lease}
}

func newIncarnation(p Options) incarnation { return incarnation(p.Config.ID + "-" + token()) }

func newLister(p Options) lister.Lister {
	return &lister.Client{Address: p.Config.Platform, Timeout: platformTimeout}
}

func newMesh(p Options, s *server.Server) *relayer.Mesh {
	return &relayer.Mesh{Handler: s, Secret: p.Keys.Secret, Self: s.Self, TLS: p.Keys.PeerClientTLS}
}

// newMetrics returns the metrics of an instance. The counters of refusals and retries
// are registered at the start, so that a reason that has not occurred yet reads 0
// and an alert on its increase fires on the first occurrence.
func newMetrics() *metrics.Set {
	set := metrics.NewSet()
	for _, reason := range judge.Reasons {
		label := `{reason="` + string(reason) + `",verdict="` + string(judge.NotRun) + `"}`
		set.NewCounter("sardinetiller_refusals_total" + label)
		set.NewCounter("sardinetiller_retries_total" + label)
	}
	return set
}

func newMonitor(p Options) *heartbeater.Monitor {
	return &heartbeater.Monitor{SuspectAfter: missedHeartbeats * p.Config.Beat, GoneAfter: p.Config.Lease}
}

func newSharer(p Options) *loader.Sharer {
	return &loader.Sharer{Fresh: missedHeartbeats * p.Config.Beat}
}

func newStore(p Options) storer.Store {
	return &storer.Client{Address: p.Config.Platform, Timeout: platformTimeout}
}

func newTable(p Options) tabler.Table {
	return &tabler.Client{Address: p.Config.Platform, Timeout: platformTimeout}
}

func newWatcher(s *server.Server, m *relayer.Mesh, store storer.Store) *watcher.Watcher {
	return &watcher.Watcher{Store: &server.ChainStore{Peers: s.PeerAddresses, Mesh: m, Store: store}}
}

// token returns a random identifier.
func token() string {
	var b [6]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
