package commander

import (
	"fmt"
	"slices"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"github.com/sardinetiller/sardinetiller/internal/instance/server"
)

func (c *Commander) newAdapterCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "adapter",
		Short: "List, locate and preload adapters",
		Long:  "Lists the adapters that the settings declare, finds the runners where one is resident, and preloads one.",
	}
	cmd.AddCommand(c.newAdapterListCmd(), c.newAdapterLocateCmd(), c.newAdapterPreloadCmd())
	return cmd
}

func (c *Commander) newAdapterListCmd() *cobra.Command {
	var dir, platform, output string
	cmd := &cobra.Command{
		Use:     "list ACCOUNT",
		Short:   "List an account's adapters and versions",
		Long:    "Lists the adapter versions of an account, as callers name them, from a directory or the revision in force.",
		Example: "  sardinetiller adapter list gujarat --tree tree",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := newResolver(cmd.Context(), dir, platform)
			if err != nil {
				return err
			}
			names := []string{}
			rows := [][]string{{"ADAPTER"}}
			r.Adapters(args[0], func(name string) bool {
				names = append(names, name)
				rows = append(rows, []string{name})
				return true
			})
			return c.print(output, names, rows)
		},
	}
	cmd.Flags().StringVar(&dir, "tree", "", "directory of a tree; the revision in force if not given")
	addPlatformFlag(cmd, &platform)
	addOutputFlag(cmd, &output)
	return cmd
}

func (c *Commander) newAdapterLocateCmd() *cobra.Command {
	var flags operatorFlags
	var output string
	cmd := &cobra.Command{
		Use:     "locate ADAPTER@VERSION",
		Short:   "Find the runners where an adapter is resident",
		Long:    "Asks an instance at which runners of its failure domain an adapter version is resident.",
		Example: "  sardinetiller adapter locate mill-7@1 --operator 127.0.0.1:8082",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var s server.Status
			if err := flags.call(cmd.Context(), fasthttp.MethodGet, server.PathStatus, &s); err != nil {
				return err
			}
			names := []string{}
			rows := [][]string{{"RUNNER", "OWNER"}}
			for _, r := range s.Runners {
				if slices.Contains(r.Resident, args[0]) {
					names = append(names, r.Runner)
					rows = append(rows, []string{r.Runner, r.Owner})
				}
			}
			if len(names) == 0 {
				fmt.Fprintf(c.err, "%s is resident nowhere in domain %s\n", args[0], s.Domain)
			}
			return c.print(output, names, rows)
		},
	}
	flags.add(cmd)
	addOutputFlag(cmd, &output)
	return cmd
}

func (c *Commander) newAdapterPreloadCmd() *cobra.Command {
	var flags operatorFlags
	var output string
	cmd := &cobra.Command{
		Use:   "preload ADAPTER@VERSION",
		Short: "Load an adapter before it is requested",
		Long: "Asks an instance to load an adapter version in its failure domain, at the runner that a request for it\n" +
			"would be routed to. Loads that requests wait for take precedence.",
		Example: "  sardinetiller adapter preload mill-7@1 --operator 127.0.0.1:8082",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var result server.PreloadResult
			if err := flags.call(cmd.Context(), fasthttp.MethodPost, server.PathPreload+args[0], &result); err != nil {
				return err
			}
			return c.print(output, result, [][]string{{"ADAPTER", "RUNNER"}, {result.Adapter, result.Runner}})
		},
	}
	flags.add(cmd)
	addOutputFlag(cmd, &output)
	return cmd
}
