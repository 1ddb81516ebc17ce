package commander

import (
	"context"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/spf13/cobra"

	"github.com/sardinetiller/sardinetiller/internal/instance/gatekeeper"
	"github.com/sardinetiller/sardinetiller/internal/member/heartbeater"
	"github.com/sardinetiller/sardinetiller/internal/member/relayer"
	"github.com/sardinetiller/sardinetiller/internal/request/forwarder"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
	"github.com/sardinetiller/sardinetiller/internal/upstream/tracker"
	"github.com/sardinetiller/sardinetiller/internal/wire/pooler"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
	"github.com/sardinetiller/sardinetiller/platform"
)

// settingsVariable names the settings file where a platform starts the program.
const settingsVariable = "SARDINETILLER_SETTINGS"

func (c *Commander) newGatewayCmd() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "gateway [--settings FILE]",
		Short: "Run an instance on the users' platform",
		Long: "Runs an instance that takes routes, services and runners from the platform's store and sends\n" +
			"requests straight to runners. The settings file is named by --settings or, if the platform starts\n" +
			"the program, by the environment variable " + settingsVariable + ".\n" +
			"SIGTERM stops it gracefully. SIGHUP reads the settings again and logs what needs a restart.",
		Example: "  sardinetiller gateway --settings examples/gateway.yaml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				file = os.Getenv(settingsVariable)
			}
			config, err := configurer.ReadGateway(file)
			if err != nil {
				return usage(err)
			}
			return c.gateway(cmd.Context(), file, config)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "file with the settings of this instance")
	return cmd
}

// The bounds on what is outside.
const (
	// runnerDial bounds a connection to a runner. A runner that lives takes one
	// within milliseconds; a lost packet costs a second, which no caller has.
	runnerDial = 400 * time.Millisecond
	// orderTimeout bounds an order and a report.
	orderTimeout = time.Second
	// storeTimeout bounds a call to the store. It stays usable when it answers
	// fifty times slower than the few milliseconds of a good day.
	storeTimeout = 1500 * time.Millisecond
	// keepTimeout is how long a connection stays unused if its peer names no
	// time: longer is seldom safe.
	keepTimeout = 5 * time.Second
)

func (c *Commander) gateway(ctx context.Context, file string, config configurer.Gateway) error {
	set := newGatewayMetrics()
	record := &recorder.Recorder{Instance: config.ID, Metrics: set, Out: c.out}
	stop := make(chan struct{})
	written := make(chan struct{})
	go func() {
		defer close(written)
		record.Run(stop)
	}()
	defer func() {
		close(stop)
		<-written
	}()
	listeners, err := c.listenGateway(config, record)
	if err != nil {
		return usage(err)
	}
	go reloadGateway(ctx, file, config, record)
	return newGatekeeper(config, listeners, set, record).Run(ctx)
}

// newGatekeeper wires an instance to the platform.
func newGatekeeper(config configurer.Gateway, listeners gatekeeper.Listeners, set *metrics.Set, record *recorder.Recorder) *gatekeeper.Gatekeeper {
	pool := &pooler.Pool{Dial: runnerDial, Idle: keepTimeout}
	runners := &platform.Runners{Pool: pool, Timeout: orderTimeout}
	fleet := &tracker.Fleet{Domain: config.Domain}
	g := &gatekeeper.Gatekeeper{
		Config: config, Decoder: platform.Decoder{}, Engine: runners, Fleet: fleet, Listeners: listeners, Metrics: set,
		Pool: pool, Ready: platform.Ready, Recorder: record,
		Store: &platform.Store{Address: config.Platform, Pool: &pooler.Pool{Dial: runnerDial, Idle: keepTimeout}, Timeout: storeTimeout},
	}
	g.Forwarder = &forwarder.Forwarder{
		Burst: g.Burst, Fleet: fleet, LoadTime: g.LoadTime, Part: config.Bounds.Part, Placement: g, Recorder: record,
		Upstream: runners, Window: config.Bounds.Window,
	}
	g.Mesh = &relayer.Mesh{Handler: g, Secret: func() string { return "" }, Self: func() heartbeater.Instance {
		return heartbeater.Instance{ID: config.ID, Domain: config.Domain, Address: config.Peer, Leaving: g.Leaving()}
	}}
	front := &platform.Front{Gate: g}
	g.Front = front.Handle
	g.Unreadable = front.Unreadable
	return g
}

// newGatewayMetrics returns the counters of an instance. Those of refusals and
// retries are there from the start, so that a reason that has not occurred
// shows as 0.
func newGatewayMetrics() *metrics.Set {
	set := metrics.NewSet()
	for _, reason := range judge.Reasons {
		for _, verdict := range []judge.Verdict{judge.NotRun, judge.MayHaveRun} {
			set.NewCounter(fmt.Sprintf(`sardinetiller_refusals_total{reason=%q,verdict=%q}`, reason, verdict))
			set.NewCounter(fmt.Sprintf(`sardinetiller_retries_total{reason=%q,verdict=%q}`, reason, verdict))
		}
	}
	return set
}

// listenGateway opens the sockets. An address for counters that is taken costs
// the counters, not the instance.
func (c *Commander) listenGateway(config configurer.Gateway, record *recorder.Recorder) (gatekeeper.Listeners, error) {
	var l gatekeeper.Listeners
	for _, socket := range []struct {
		field, address string
		listener       *net.Listener
	}{
		{"caller", config.Caller, &l.Caller},
		{"peer", config.Peer, &l.Peer},
		{"ready", config.Ready, &l.Ready},
	} {
		var err error
		if *socket.listener, err = net.Listen("tcp", socket.address); err != nil {
			return l, fmt.Errorf("%s: %w; choose a free address", socket.field, err)
		}
	}
	if config.Metrics == "" {
		return l, nil
	}
	counters, err := net.Listen("tcp", config.Metrics)
	if err != nil {
		record.Log(recorder.Lifecycle, "msg", "no address for counters", "err", err)
		return l, nil
	}
	l.Metrics = counters
	return l, nil
}
