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
			"Faults are set by POST /control with a JSON object; GET /books tells what was done.",
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
		long:           "Runs a model engine that batches continuously, holds adapters in slots and takes load and evict orders.",
		example:        "--listen 127.0.0.1:7001 --name r1 --weights 127.0.0.1:9000 --fencing",
		defaultAddress: "127.0.0.1:7001",
		flags: func(cmd *cobra.Command) {
			cmd.Flags().StringVar(&e.Name, "name", "engine", "name, the first part of its incarnation")
			cmd.Flags().IntVar(&e.Slots, "slots", 8, "adapters that it holds")
			cmd.Flags().IntVar(&e.Batch, "batch", 8, "requests that it runs at once")
			cmd.Flags().DurationVar(&e.Step, "step", 25*time.Millisecond, "time of a step, which gives each running request a token")
			cmd.Flags().BoolVar(&e.Fencing, "fencing", false, "refuse orders with an old fencing number")
			cmd.Flags().StringVar(&e.Weights, "weights", "", "host:port of the weight store; none for loads that take no time")
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
			cmd.Flags().DurationVar(&p.Lag, "lag", 2*time.Second, "of the instance list")
			cmd.Flags().Float64Var(&p.Rate, "rate", 3, "weight loads a second")
			cmd.Flags().IntVar(&p.Together, "together", 1, "weight loads at once at full speed")
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
		long:           "Runs a plain service that answers every call with what it was sent and books it.",
		example:        "--listen 127.0.0.1:7101",
		defaultAddress: "127.0.0.1:7101",
		flags:          func(*cobra.Command) {},
		run: func(ctx context.Context, l net.Listener) error {
			s.Listener = l
			return s.Run(ctx)
		},
	})
}
