package commander

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/spf13/cobra"

	"github.com/sardinetiller/sardinetiller/internal/instance/gatekeeper"
	"github.com/sardinetiller/sardinetiller/internal/request/judge"
	"github.com/sardinetiller/sardinetiller/internal/setting/configurer"
	"github.com/sardinetiller/sardinetiller/internal/wire/recorder"
	"github.com/sardinetiller/sardinetiller/platform"
)

// settingsVariable is the environment variable with the path of the settings file,
// for instances that the platform starts.
const settingsVariable = "SARDINETILLER_SETTINGS"

func (c *Commander) newGatewayCmd() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "gateway [--settings FILE]",
		Short: "Run an instance on the users' platform",
		Long: "Runs an instance that reads routes, services and runners from the platform's store and sends\n" +
			"requests directly to runners. The settings file is named by --settings or, if the platform starts\n" +
			"the program, by the environment variable " + settingsVariable + ".\n" +
			"SIGTERM stops it gracefully. SIGHUP rereads the settings and logs whether a restart is needed.",
		Example: "  sardinetiller gateway --settings examples/gateway.yaml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				file = os.Getenv(settingsVariable)
			}
			hangups := catchHangups()
			config, err := configurer.ReadGateway(file)
			if err != nil {
				return usage(err)
			}
			return c.gateway(cmd.Context(), hangups, file, config)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "file with the settings of this instance")
	return cmd
}

func (c *Commander) gateway(ctx context.Context, hangups <-chan os.Signal, file string, config configurer.Gateway) error {
	if config.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryTarget * float64(config.Memory<<20)))
	}
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
	go reloadGateway(ctx, hangups, file, config, record)
	g, err := platform.Compose(platform.Dependencies{Config: config, Listeners: listeners, Metrics: set, Recorder: record})
	if err != nil {
		return err
	}
	return g.Run(ctx)
}

// memoryTarget is the fraction of its memory that the runtime keeps to. It is below the one from which the instance counts as
// short of memory, so that garbage does not count.
const memoryTarget = 0.7

// newGatewayMetrics returns the metrics of an instance. The counters of refusals
// and retries are registered up front, so that a reason that has not occurred
// is exported as 0.
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

// listenGateway opens the listeners. A metrics address that is already in use
// disables metrics but does not keep the instance from starting.
func (c *Commander) listenGateway(config configurer.Gateway, record *recorder.Recorder) (gatekeeper.Listeners, error) {
	var l gatekeeper.Listeners
	err := listenOn(socket{"caller", config.Caller, &l.Caller}, socket{"peer", config.Peer, &l.Peer}, socket{"ready", config.Ready, &l.Ready})
	if err != nil {
		return l, err
	}
	if config.Metrics == "" {
		return l, nil
	}
	metricsListener, err := net.Listen("tcp", config.Metrics)
	if err != nil {
		record.Log(recorder.Lifecycle, "msg", "cannot listen on the metrics address; serving without metrics", "err", err)
		return l, nil
	}
	l.Metrics = metricsListener
	return l, nil
}
