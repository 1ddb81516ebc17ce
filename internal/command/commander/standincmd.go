package commander

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/spf13/cobra"

	"github.com/sardinetiller/sardinetiller/internal/standin/generator"
	"github.com/sardinetiller/sardinetiller/internal/standin/registrar"
	"github.com/sardinetiller/sardinetiller/internal/standin/responder"
)

func (c *Commander) newStandinCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in of an outside system",
		Long: "Runs a stand-in of the platform, of a model engine or of a plain service as a process of its own.\n" +
			"Faults are set by POST /control with a JSON object; GET /books returns what was executed.",
	}
	cmd.AddCommand(c.newStandinEngineCmd(), c.newStandinPlatformCmd(), c.newStandinServiceCmd())
	return cmd
}

// A standin describes the command that runs a stand-in.
type standin struct {
	name           string
	long           string
	example        string
	defaultAddress string // default of --listen
	flags          func(cmd *cobra.Command)
	run            func(ctx context.Context, l net.Listener) error
	listenAddress  string
}

// standinCommand returns a command that runs the stand-in until ctx is cancelled.
func (c *Commander) standinCommand(s standin) *cobra.Command {
	cmd := &cobra.Command{
		Use:     s.name,
		Short:   "Run a stand-in: " + s.name,
		Long:    s.long,
		Example: "  sardinetiller standin " + s.name + " " + s.example,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, err := net.Listen("tcp", s.listenAddress)
			if err != nil {
				return usage(fmt.Errorf("--listen: %w; choose a free address", err))
			}
			fmt.Fprintf(c.err, "%s at %s\n", s.name, l.Addr())
			return s.run(cmd.Context(), l)
		},
	}
	cmd.Flags().StringVar(&s.listenAddress, "listen", s.defaultAddress, "host:port")
	s.flags(cmd)
	return cmd
}

func (c *Commander) newStandinEngineCmd() *cobra.Command {
	e := &generator.Engine{}
	return c.standinCommand(standin{
		name:           "engine",
		long:           "Runs a model engine with continuous batching that keeps adapters in slots and accepts load and evict orders.",
		example:        "--listen 127.0.0.1:7001 --name r1 --weights 127.0.0.1:9000 --fencing",
		defaultAddress: "127.0.0.1:7001",
		flags: func(cmd *cobra.Command) {
			cmd.Flags().StringVar(&e.Name, "name", "engine", "name, which its incarnation begins with")
			cmd.Flags().IntVar(&e.Slots, "slots", 8, "number of adapter slots")
			cmd.Flags().IntVar(&e.Batch, "batch", 8, "maximum number of running requests")
			cmd.Flags().DurationVar(&e.Step, "step", 25*time.Millisecond, "duration of a step, in which each running request emits a token")
			cmd.Flags().BoolVar(&e.Fencing, "fencing", false, "reject orders with an old fencing token")
			cmd.Flags().StringVar(&e.Weights, "weights", "", "host:port of the weight store; without it loads take no time")
		},
		run: func(ctx context.Context, l net.Listener) error {
			e.Listener = l
			return e.Run(ctx)
		},
	})
}

func (c *Commander) newStandinPlatformCmd() *cobra.Command {
	p := &registrar.Platform{}
	return c.standinCommand(standin{
		name:           "platform",
		long:           "Runs the table service, the object store, the instance list and the weight store on one address.",
		example:        "--listen 127.0.0.1:9000 --rate 3 --together 1",
		defaultAddress: "127.0.0.1:9000",
		flags: func(cmd *cobra.Command) {
			cmd.Flags().DurationVar(&p.Lag, "lag", 2*time.Second, "delay of the instance list")
			cmd.Flags().Float64Var(&p.Rate, "rate", 3, "weight loads per second")
			cmd.Flags().IntVar(&p.Together, "together", 1, "concurrent weight loads without slowdown")
		},
		run: func(ctx context.Context, l net.Listener) error {
			p.Listener = l
			return p.Run(ctx)
		},
	})
}

func (c *Commander) newStandinServiceCmd() *cobra.Command {
	s := &responder.Service{}
	return c.standinCommand(standin{
		name:           "service",
		long:           "Runs a plain service that echoes every call and records it.",
		example:        "--listen 127.0.0.1:7101",
		defaultAddress: "127.0.0.1:7101",
		flags:          func(*cobra.Command) {},
		run: func(ctx context.Context, l net.Listener) error {
			s.Listener = l
			return s.Run(ctx)
		},
	})
}
