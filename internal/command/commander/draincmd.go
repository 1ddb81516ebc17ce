package commander

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/instance/server"
	"github.com/sardinetiller/sardinetiller/internal/platform/tabler"
)

func (c *Commander) newDrainCmd() *cobra.Command {
	var flags operatorFlags
	var platform string
	cmd := &cobra.Command{
		Use:   "drain [DOMAIN UPSTREAM]",
		Short: "Drain an upstream or an instance",
		Long: "With a failure domain and the name of an upstream, every instance of the domain stops sending the upstream\n" +
			"new requests within a few seconds; those that run there complete. With --operator and no names, that\n" +
			"instance reports that it is not ready, so that the load balancer sends it no new requests.",
		Example: "  sardinetiller drain a exit-llm-1 --platform 127.0.0.1:9000\n  sardinetiller drain --operator 127.0.0.1:8082",
		Args:    cobra.MatchAll(cobra.MaximumNArgs(2), zeroOrTwoArgs),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return flags.call(cmd.Context(), fasthttp.MethodPost, server.PathDrain, nil)
			}
			return c.setDrain(cmd.Context(), platform, args[0], args[1], true)
		},
	}
	flags.add(cmd)
	addPlatformFlag(cmd, &platform)
	return cmd
}

func zeroOrTwoArgs(_ *cobra.Command, args []string) error {
	if len(args) == 1 {
		return usage(fmt.Errorf("name both the failure domain and the upstream, or neither"))
	}
	return nil
}

func (c *Commander) setDrain(ctx context.Context, platform, domain, upstream string, drained bool) error {
	p, err := newPublisher(platform, false)
	if err != nil {
		return err
	}
	key := server.DrainKey(domain, upstream)
	txn := tabler.Txn{Deletes: []string{key}}
	what := "takes work again"
	if drained {
		txn = tabler.Txn{Puts: []tabler.Put{{Key: key, Value: []byte{1}}}}
		what = "takes no new work"
	}
	if err := p.Table.Commit(ctx, txn); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s in domain %s %s\n", upstream, domain, what)
	return nil
}
