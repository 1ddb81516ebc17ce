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

// runStandin listens and runs until the program is stopped.
func (c *Commander) runStandin(ctx context.Context, name, address string, run func(context.Context, net.Listener) error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return usage(fmt.Errorf("--listen: %w; choose a free address", err))
	}
	fmt.Fprintf(c.err, "%s at %s\n", name, l.Addr())
	return run(ctx, l)
}

func (c *Commander) newStandinEngineCmd() *cobra.Command {
	e := &generator.Engine{}
	var address string
	cmd := &cobra.Command{
		Use:     "engine",
		Short:   "Run a stand-in of a model engine",
		Long:    "Runs a model engine that batches continuously, holds adapters in slots and takes load and evict orders.",
		Example: "  sardinetiller standin engine --listen 127.0.0.1:7001 --name r1 --weights 127.0.0.1:9000 --fencing",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.runStandin(cmd.Context(), "engine", address, func(ctx context.Context, l net.Listener) error {
				e.Listener = l
				return e.Run(ctx)
			})
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:7001", "host:port")
	cmd.Flags().StringVar(&e.Name, "name", "engine", "name, the first part of its incarnation")
	cmd.Flags().IntVar(&e.Slots, "slots", 8, "adapters that it holds")
	cmd.Flags().IntVar(&e.Batch, "batch", 8, "requests that it runs at once")
	cmd.Flags().DurationVar(&e.Step, "step", 25*time.Millisecond, "time of a step, which gives each running request a token")
	cmd.Flags().BoolVar(&e.Fencing, "fencing", false, "refuse orders with an old fencing number")
	cmd.Flags().StringVar(&e.Weights, "weights", "", "host:port of the weight store; none for loads that take no time")
	return cmd
}

func (c *Commander) newStandinPlatformCmd() *cobra.Command {
	p := &registrar.Platform{}
	var address string
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run a stand-in of the platform",
		Long:    "Runs the table service, the object store, the instance list and the weight store on one address.",
		Example: "  sardinetiller standin platform --listen 127.0.0.1:9000 --rate 3 --together 1",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.runStandin(cmd.Context(), "platform", address, func(ctx context.Context, l net.Listener) error {
				p.Listener = l
				return p.Run(ctx)
			})
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:9000", "host:port")
	cmd.Flags().DurationVar(&p.Lag, "lag", 2*time.Second, "of the instance list")
	cmd.Flags().Float64Var(&p.Rate, "rate", 3, "weight loads a second")
	cmd.Flags().IntVar(&p.Together, "together", 1, "weight loads at once at full speed")
	return cmd
}

func (c *Commander) newStandinServiceCmd() *cobra.Command {
	s := &responder.Service{}
	var address string
	cmd := &cobra.Command{
		Use:     "service",
		Short:   "Run a stand-in of a plain service",
		Long:    "Runs a plain service that answers every call with what it was sent and books it.",
		Example: "  sardinetiller standin service --listen 127.0.0.1:7101",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.runStandin(cmd.Context(), "service", address, func(ctx context.Context, l net.Listener) error {
				s.Listener = l
				return s.Run(ctx)
			})
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:7101", "host:port")
	return cmd
}
